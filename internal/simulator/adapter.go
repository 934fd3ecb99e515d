// Package simulator is the door between the simulator's wire and the decision module: it decodes
// batches into calls on planners and writes their decisions as messages. It decides nothing.
package simulator

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"lichenpick/policy"
)

// instance is one planner and the host it decides through.
type instance struct {
	name    string
	planner *policy.Policy
	out     *writer
	timer   uint64
	touched bool
}

type server struct {
	instances map[string]*instance
	out       writer
	errs      io.Writer
	reported  map[string]bool // unknown message names told once
}

// Serve answers batches until the input ends.
func Serve(in io.Reader, out, errs io.Writer) error {
	s := &server{instances: map[string]*instance{}, errs: errs, reported: map[string]bool{}}
	r := bufio.NewReaderSize(in, 1<<16)
	w := bufio.NewWriterSize(out, 1<<16)
	for {
		line, err := r.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if e := s.batch(line); e != nil {
				return e
			}
			w.WriteString(`{"output":[`)
			w.Write(s.out.buf)
			w.WriteString("]}\n")
			if e := w.Flush(); e != nil {
				return fmt.Errorf("writing the reply: %w", e)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("reading a batch: %w", err)
		}
	}
}

func (s *server) batch(line []byte) error {
	s.out.buf = s.out.buf[:0]
	var b struct {
		TMs  float64
		Msgs []json.RawMessage `json:"msgs"`
	}
	if err := json.Unmarshal(line, &b); err != nil {
		return fmt.Errorf("batch: %s", plain(err))
	}
	var acting []*instance
	for _, raw := range b.Msgs {
		var h struct {
			What *string `json:"what"`
			Who  *string
		}
		if err := json.Unmarshal(raw, &h); err != nil {
			return fmt.Errorf("message: %s", plain(err))
		}
		if h.What == nil || *h.What == "" {
			return errors.New("message without its name: field what")
		}
		read, known := readers[*h.What]
		if !known {
			if !s.reported[*h.What] {
				s.reported[*h.What] = true
				fmt.Fprintf(s.errs, "adapter: unknown message %q skipped\n", *h.What)
			}
			continue
		}
		if h.Who == nil || *h.Who == "" {
			return fmt.Errorf("message %s without its instance: field Who", *h.What)
		}
		in := s.instances[*h.Who]
		var err error
		switch {
		case *h.What == "OpenInstance":
			in, err = s.open(*h.Who, raw, b.TMs)
		case *h.What == "Kill":
			delete(s.instances, *h.Who)
			continue
		case in == nil:
			// Fields of the wrong type are faults even when the instance is stopped.
			err = read(nil, raw)
		default:
			in.protect(func() { in.planner.SetTime(b.TMs); err = read(in, raw) })
		}
		if err != nil {
			return fmt.Errorf("message %s: %s", *h.What, plain(err))
		}
		if in != nil && !in.touched {
			in.touched = true
			acting = append(acting, in)
		}
	}
	for _, in := range acting {
		in.touched = false
		if s.instances[in.name] == in && in.planner != nil {
			in.protect(func() {
				for in.planner.Next(in) {
				}
			})
		}
	}
	return nil
}

// protect turns a panic of the module into a Crash of its instance.
func (in *instance) protect(call func()) {
	defer func() {
		if r := recover(); r != nil {
			in.out.start("Crash", in.name).str("Line", fmt.Sprint(r)).end()
			in.planner = nil
		}
	}()
	if in.planner != nil {
		call()
	}
}

// plain words a decoding error without Go's own terms.
func plain(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return fmt.Sprintf("field %s holds a %s where a value of another type belongs", t.Field, t.Value)
	}
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		return "not JSON: " + syn.Error()
	}
	return err.Error()
}

// writer builds the actions of one reply.
type writer struct{ buf []byte }

func (w *writer) start(name, who string) *writer {
	if len(w.buf) > 0 {
		w.buf = append(w.buf, ',')
	}
	w.buf = append(w.buf, `{"what":"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, '"')
	return w.str("Who", who)
}

func (w *writer) key(name string) {
	w.buf = append(w.buf, `,"`...)
	w.buf = append(w.buf, name...)
	w.buf = append(w.buf, `":`...)
}

func (w *writer) str(name, v string) *writer {
	w.key(name)
	q, _ := json.Marshal(v)
	w.buf = append(w.buf, q...)
	return w
}

func (w *writer) num(name string, v float64) *writer {
	w.key(name)
	w.buf = strconv.AppendFloat(w.buf, v, 'f', -1, 64)
	return w
}

func (w *writer) flag(name string, v bool) *writer {
	w.key(name)
	w.buf = strconv.AppendBool(w.buf, v)
	return w
}

func (w *writer) end() { w.buf = append(w.buf, '}') }

// The decisions of a planner, as messages.

func (in *instance) SetWeight(table int, server string, weight float64) {
	in.out.start("SetLine", in.name).str("Server", server).num("W", weight).num("MapId", float64(table)).end()
}

func (in *instance) AssignTable(proxy, table int, groups []int) {
	set := 0.0
	for _, g := range groups {
		set += bit(g)
	}
	in.out.start("HandTable", in.name).num("Proxy", float64(proxy)).num("MapId", float64(table)).
		num("ForClasses", set).end()
}

func (in *instance) SetEjected(server string, out bool) {
	in.out.start("Mask", in.name).str("Server", server).flag("Active", out).end()
}

func (in *instance) SetAdmission(table, group int, share float64, retry int) {
	in.out.start("Ration", in.name).num("How", float64(retry)).num("ForClasses", bit(group)).
		num("MapId", float64(table)).num("Limit", share).end()
}

func (in *instance) RequestAcknowledgement(number int) {
	in.out.start("AskReceipt", in.name).num("Number", float64(number)).flag("Active", false).end()
}

func (in *instance) WatchEndpoints() { in.out.start("Follow", in.name).flag("Active", true).end() }

func (in *instance) SetTimer(inMs float64) {
	in.timer++
	in.out.start("SetTimer", in.name).num("SleepForMs", inMs).num("Nonce", float64(in.timer)).end()
}

func bit(group int) float64 { return float64(uint64(1) << group) }
