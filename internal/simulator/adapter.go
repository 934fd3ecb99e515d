package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"lichenpick/policy"
)

// ioBufferBytes is the size of the input buffer and of the output buffer.
const ioBufferBytes = 1 << 16

// adapter owns the planner instances and processes the batches of input.
type adapter struct {
	instances       map[string]*instance // by name
	actions         actionWriter         // of the current batch
	diagnostics     io.Writer
	reportedUnknown map[string]bool // names of unknown messages, once reported
}

func newAdapter(diagnostics io.Writer) *adapter {
	return &adapter{instances: map[string]*instance{}, diagnostics: diagnostics, reportedUnknown: map[string]bool{}}
}

// Serve reads batches and writes a reply to each, until the input ends; then it returns nil. It returns an error, of one line,
// for input that it cannot decode. Messages with an unknown name are skipped; each name is reported once on diagnostics.
func Serve(input io.Reader, output, diagnostics io.Writer) error {
	adapter := newAdapter(diagnostics)
	reader := bufio.NewReaderSize(input, ioBufferBytes)
	writer := bufio.NewWriterSize(output, ioBufferBytes)
	for {
		line, readErr := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if err := adapter.handleBatch(line); err != nil {
				return err
			}
			if err := adapter.writeReply(writer); err != nil {
				return fmt.Errorf("writing the reply: %w", err)
			}
		}
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return fmt.Errorf("reading a batch: %w", readErr)
		}
	}
}

// writeReply writes the actions of the current batch as one line.
func (a *adapter) writeReply(writer *bufio.Writer) error {
	for _, part := range [][]byte{replyStart, a.actions.buffer, replyEnd} {
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// handleBatch delivers the messages of a batch to their instances, in order. Then it pulls the decisions of each instance that
// received a message, in the order of the first messages.
func (a *adapter) handleBatch(line []byte) error {
	a.actions.reset()
	batch, err := decodeBatch(line)
	if err != nil {
		return err
	}
	var pending []*instance
	for _, raw := range batch.Messages {
		target, err := a.handleMessage(raw, batch.TMs)
		if err != nil {
			return err
		}
		if target != nil && !target.pending {
			target.pending = true
			pending = append(pending, target)
		}
	}
	for _, target := range pending {
		target.pending = false
		if a.instances[target.name] == target { // not killed or replaced later in the batch
			target.runRecovered(func() { pullDecisions(target) })
		}
	}
	return nil
}

// pullDecisions has an instance's policy make all decisions that are due, which the instance writes as actions.
func pullDecisions(target *instance) {
	for target.policy.Next(target) {
	}
}

// handleMessage decodes a message and applies it. It returns the instance that the message was for, or nil if no decisions can
// follow: the name is unknown, the instance does not run or was killed.
func (a *adapter) handleMessage(raw []byte, nowMs float64) (*instance, error) {
	name, instanceName, err := decodeHeader(raw)
	if err != nil {
		return nil, err
	}
	decode, known := decoders[name]
	if !known {
		a.reportUnknown(name)
		return nil, nil
	}
	if instanceName == "" {
		return nil, fmt.Errorf("message %s has no instance: field Who is missing", name)
	}
	target := a.instances[instanceName]
	switch name {
	case messageOpen:
		target, err = a.open(instanceName, raw, nowMs)
	case messageKill:
		delete(a.instances, instanceName)
		return nil, nil
	default:
		err = deliver(target, decode, raw, nowMs)
	}
	if err != nil {
		return nil, fmt.Errorf("message %s: %w", name, &decodeError{err})
	}
	return target, nil
}

// deliver decodes a message and applies it to an instance. The instance is nil if none of that name runs; the message is then
// only decoded, so that a field of the wrong type is an error in any case.
func deliver(target *instance, decode decoder, raw []byte, nowMs float64) error {
	if target == nil {
		_, err := decode(raw)
		return err
	}
	var err error
	target.runRecovered(func() {
		target.policy.SetTime(nowMs)
		var apply policyCall
		apply, err = decode(raw)
		if err == nil {
			apply(target.policy)
		}
	})
	return err
}

// open starts an instance, and replaces one of the same name.
func (a *adapter) open(name string, raw []byte, nowMs float64) (*instance, error) {
	settings, seed, err := decodeOpen(raw)
	if err != nil {
		return nil, err
	}
	opened := &instance{name: name, actions: &a.actions, policy: policy.New(settings.Policy, seed)}
	opened.policy.SetTime(nowMs)
	a.instances[name] = opened
	return opened, nil
}

// reportUnknown reports the name of an unknown message once, as a newer simulator may send many such messages.
func (a *adapter) reportUnknown(name string) {
	if a.reportedUnknown[name] {
		return
	}
	a.reportedUnknown[name] = true
	_, _ = fmt.Fprintf(a.diagnostics, "adapter: unknown message %q skipped\n", name) // a failure to report does not affect the replies
}
