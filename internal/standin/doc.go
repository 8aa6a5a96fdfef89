// Package standin holds the contract tests of the stand-ins: test programs
// that play the platform's services, model engines and plain services.
//
// Each stand-in is a package with Options, which are also its command-line
// flags, a constructor and an http.Handler, so that a test can run it in its
// own process or, by command standin, in a process apart. The daemon never
// imports them.
package standin
