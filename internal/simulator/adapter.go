package simulator

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"

	"lichenpick/policy"
)

// ioBufferBytes is the size of the buffers of input and output.
const ioBufferBytes = 1 << 16

// adapter owns the instances and drives them batch by batch.
type adapter struct {
	instances       map[string]*instance // by name
	actions         actionWriter         // of the present batch
	diagnostics     io.Writer
	reportedUnknown map[string]bool // names of unknown messages that were reported
}

func newAdapter(diagnostics io.Writer) *adapter {
	return &adapter{instances: map[string]*instance{}, diagnostics: diagnostics, reportedUnknown: map[string]bool{}}
}

// Serve reads batches and writes a reply to each until the input ends, and then returns nil. Input that it cannot decode ends
// it with an error of one line. Messages of unknown names are skipped, and reported once each on diagnostics.
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

// writeReply writes the actions of the present batch as one line.
func (a *adapter) writeReply(writer *bufio.Writer) error {
	for _, part := range [][]byte{replyStart, a.actions.buffer, replyEnd} {
		if _, err := writer.Write(part); err != nil {
			return err
		}
	}
	return writer.Flush()
}

// handleBatch delivers all messages of a batch to their instances, in order, and then pulls the decisions of those that got one,
// in the order of their first messages.
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
		if a.instances[target.name] == target { // not killed, or replaced, later in the batch
			target.runRecovered(func() { pullDecisions(target) })
		}
	}
	return nil
}

// pullDecisions writes all decisions that an instance's policy has to make now.
func pullDecisions(target *instance) {
	for target.policy.Next(target) {
	}
}

// handleMessage decodes a message and applies it. It returns the instance that it was for, or nil if no decisions can follow
// from it.
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
		return nil, fmt.Errorf("message %s without its instance: field Who", name)
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

// deliver decodes a message and applies it to an instance, which is nil if none of its name runs: fields of the wrong type
// are then faults of the input all the same.
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

// open starts an instance, in place of one of the same name if there is one.
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

// reportUnknown reports the name of an unknown message, once: a newer simulator may send many.
func (a *adapter) reportUnknown(name string) {
	if a.reportedUnknown[name] {
		return
	}
	a.reportedUnknown[name] = true
	_, _ = fmt.Fprintf(a.diagnostics, "adapter: unknown message %q skipped\n", name) // without diagnostics, replies still count
}
