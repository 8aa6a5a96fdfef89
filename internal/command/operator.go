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

// operatorOptions are those of every verb that signs a record.
type operatorOptions struct {
	adminOptions
	outputOptions
	As      string `long:"as" value-name:"NAME" required:"yes" description:"operator's name, as in the hosts' settings"`
	KeyFile string `long:"key-file" value-name:"FILE" required:"yes" description:"file with the operator's private key"`
}

// signer reads the operator's key. It fails with ErrUsage.
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

// status reads what is in force at the host.
func (a adminOptions) status() (daemon.Status, error) {
	var status daemon.Status
	err := a.get(daemon.PathStatus, nil, &status)
	return status, err
}

// sequence gives the number for the operator's next record.
func (o operatorOptions) sequence(status daemon.Status) uint64 {
	return config.NextSequence(status.Config.Sequences[o.As], time.Now())
}

// signerAndStatus gives the operator's signer and what the host tells now, on
// which the next record is based.
func (o operatorOptions) signerAndStatus() (*config.Signer, daemon.Status, error) {
	signer, err := o.signer()
	if err != nil {
		return nil, daemon.Status{}, err
	}
	status, err := o.status()
	return signer, status, err
}

// submit sends a signed record and prints what became of it.
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

// findVersion finds the newest published version by the name of its bundle. It
// fails with ErrRefused.
func findVersion(status daemon.Status, name string) (*config.VersionInfo, error) {
	for _, version := range []*config.VersionInfo{status.Config.Head, status.Config.InForce} {
		if version != nil && version.Name == name {
			return version, nil
		}
	}
	return nil, eris.Wrapf(ErrRefused, "no bundle %q is the newest published or in force", name)
}
