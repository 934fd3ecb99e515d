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
	instances       map[string]*instance // running instances by name
	actions         actionWriter         // actions of the current batch
	diagnostics     io.Writer
	reportedUnknown map[string]bool // names of unknown messages that were reported
}

func newAdapter(diagnostics io.Writer) *adapter {
	return &adapter{instances: map[string]*instance{}, diagnostics: diagnostics, reportedUnknown: map[string]bool{}}
}

// Serve reads batches and writes a reply to each batch, until the input ends; then it returns nil. For input that it cannot
// decode, it returns an error with a text of one line. It skips messages with an unknown name, and reports each such name once
// on diagnostics.
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
// received a message, in the order in which the instances received their first messages.
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
		if a.instances[target.name] == target { // skips instances that were killed or replaced later in the batch
			target.runRecovered(func() { pullDecisions(target) })
		}
	}
	return nil
}

// pullDecisions makes an instance's policy take all decisions that are due. The instance writes each decision as an action.
func pullDecisions(target *instance) {
	for target.policy.Next(target) {
	}
}

// handleMessage decodes and applies a message. It returns the instance that the message was for. It returns nil if the message
// can cause no decisions: the message's name is unknown, or the instance does not run or was killed.
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

// deliver decodes a message and applies it to an instance. The instance is nil if the message names an instance that does not
// run. In this case the message is only decoded, so that a field of the wrong type is still an error.
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

// open starts an instance, which replaces an instance of the same name.
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

// reportUnknown reports each name of an unknown message only once, as a newer simulator may send many messages of that name.
func (a *adapter) reportUnknown(name string) {
	if a.reportedUnknown[name] {
		return
	}
	a.reportedUnknown[name] = true
	_, _ = fmt.Fprintf(a.diagnostics, "adapter: unknown message %q skipped\n", name) // a failed write does not affect the replies
}
