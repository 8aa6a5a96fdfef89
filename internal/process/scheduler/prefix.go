package scheduler

// Prefix is a prefix of a prompt, identified by the hash of its tokens or text.
// The prefixes of a prompt are listed from the shortest to the longest.
type Prefix struct {
	Hash uint64
	// Tokens is the length of the prefix, counted from the start of the prompt.
	Tokens int
}
