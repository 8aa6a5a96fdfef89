package command

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/daemon"
	"mustarddoor/internal/version/config"
)

// operatorOptions are the options of the subcommands that sign a record.
type operatorOptions struct {
	adminOptions
	outputOptions
	As      string `long:"as" value-name:"NAME" required:"yes" description:"operator's name, as in the hosts' settings"`
	KeyFile string `long:"key-file" value-name:"FILE" required:"yes" description:"file with the operator's private key"`
}

// signer loads the operator's key. It returns ErrUsage if the key is unreadable
// or invalid.
func (o operatorOptions) signer() (*config.Signer, error) {
	content, err := os.ReadFile(o.KeyFile)
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	signer, err := config.NewOperatorSigner(o.As, strings.TrimSpace(string(content)))
	if err != nil {
		return nil, eris.Wrap(ErrUsage, err.Error())
	}
	return signer, nil
}

// status requests the host's status.
func (a adminOptions) status() (daemon.Status, error) {
	var status daemon.Status
	err := a.get(daemon.PathStatus, nil, &status)
	return status, err
}

// sequence returns the sequence number of the operator's next record.
func (o operatorOptions) sequence(status daemon.Status) uint64 {
	return config.NextSequence(status.Config.Sequences[o.As], time.Now())
}

// signerAndStatus returns the operator's signer and the host's current status,
// on which the next record is based.
func (o operatorOptions) signerAndStatus() (*config.Signer, daemon.Status, error) {
	signer, err := o.signer()
	if err != nil {
		return nil, daemon.Status{}, err
	}
	status, err := o.status()
	return signer, status, err
}

// submit sends a signed record and prints the outcome.
func (o operatorOptions) submit(out io.Writer, record config.Record) error {
	var outcome config.Outcome
	if err := o.postBytes(daemon.PathRecords, record.Raw, &outcome); err != nil {
		return err
	}
	if err := o.printOutcome(out, outcome); err != nil {
		return err
	}
	switch outcome.Result {
	case config.ResultAccepted:
		return nil
	case config.ResultUncertain:
		return eris.Wrap(ErrUnknown, outcome.Detail)
	default:
		return eris.Wrapf(ErrRefused, "%s: %s %s", outcome.Result, outcome.Reason, outcome.Detail)
	}
}

func (o operatorOptions) printOutcome(out io.Writer, outcome config.Outcome) error {
	return o.print(out, outcome, func() *table {
		t := &table{header: []string{"RECORD", "RESULT", "OFFSET", "DETAIL"}}
		detail := strings.TrimSpace(string(outcome.Reason) + " " + outcome.Detail)
		t.add(string(outcome.Kind), string(outcome.Result), fmt.Sprint(outcome.Offset), detail)
		return t
	})
}

// findVersion returns the version of a bundle that is the newest published one
// or in force. It returns ErrRefused if there is none of that name.
func findVersion(status daemon.Status, name string) (*config.VersionInfo, error) {
	for _, version := range []*config.VersionInfo{status.Config.Head, status.Config.InForce} {
		if version != nil && version.Name == name {
			return version, nil
		}
	}
	return nil, eris.Wrapf(ErrRefused, "bundle %q is neither the newest published one nor in force", name)
}
