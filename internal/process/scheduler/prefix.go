package scheduler

// Prefix is the head of a prompt, named by the hash of its tokens or text.
// A prompt lists its prefixes from the shortest to the longest.
type Prefix struct {
	Hash uint64
	// Tokens is the length of the prefix from the start of the prompt.
	Tokens int
}
