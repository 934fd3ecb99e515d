package simulator

import (
	"encoding/json"
	"strconv"
)

// The start and the end of a reply. A reply is one line; its actions, separated by commas, are between the start and the end.
var (
	replyStart = []byte(`{"output":[`)
	replyEnd   = []byte("]}\n")
)

// actionWriter builds the actions of one reply as JSON, without an allocation per action. Each method named after a decision
// appends one action of an instance; the helper methods below append the parts of an action. Fields are written in the order in
// which the simulator's documentation lists them.
type actionWriter struct{ buffer []byte }

// reset starts the next reply.
func (w *actionWriter) reset() { w.buffer = w.buffer[:0] }

func (w *actionWriter) setWeight(instance string, table int, server string, weight float64) {
	w.start("SetLine", instance)
	w.text("Server", server)
	w.number("W", weight)
	w.number("MapId", float64(table))
	w.end()
}

func (w *actionWriter) assignTable(instance string, proxy, table int, classes []int) {
	w.start("HandTable", instance)
	w.number("Proxy", float64(proxy))
	w.number("MapId", float64(table))
	w.number("ForClasses", classBitmask(classes...))
	w.end()
}

func (w *actionWriter) setEjected(instance, server string, ejected bool) {
	w.start("Mask", instance)
	w.text("Server", server)
	w.boolean("Active", ejected)
	w.end()
}

func (w *actionWriter) setAdmission(instance string, table, class int, fraction float64, retry int) {
	w.start("Ration", instance)
	w.number("How", float64(retry))
	w.number("ForClasses", classBitmask(class))
	w.number("MapId", float64(table))
	w.number("Limit", fraction)
	w.end()
}

func (w *actionWriter) requestAcknowledgement(instance string, number int) {
	w.start("AskReceipt", instance)
	w.number("Number", float64(number))
	w.boolean("Active", false)
	w.end()
}

func (w *actionWriter) watchEndpoints(instance string) {
	w.start("Follow", instance)
	w.boolean("Active", true)
	w.end()
}

func (w *actionWriter) setTimer(instance string, delayMs float64, number uint64) {
	w.start("SetTimer", instance)
	w.number("SleepForMs", delayMs)
	w.number("Nonce", float64(number))
	w.end()
}

func (w *actionWriter) crash(instance, cause string) {
	w.start("Crash", instance)
	w.text("Line", cause)
	w.end()
}

// classBitmask encodes a set of traffic classes as a number with one bit per class.
func classBitmask(classes ...int) float64 {
	set := 0.0
	for _, class := range classes {
		set += float64(uint64(1) << class)
	}
	return set
}

func (w *actionWriter) start(action, instance string) {
	if len(w.buffer) > 0 {
		w.buffer = append(w.buffer, ',')
	}
	w.buffer = append(w.buffer, `{"what":"`...)
	w.buffer = append(w.buffer, action...)
	w.buffer = append(w.buffer, '"')
	w.text("Who", instance)
}

func (w *actionWriter) end() { w.buffer = append(w.buffer, '}') }

func (w *actionWriter) key(name string) {
	w.buffer = append(w.buffer, `,"`...)
	w.buffer = append(w.buffer, name...)
	w.buffer = append(w.buffer, `":`...)
}

func (w *actionWriter) text(name, value string) {
	w.key(name)
	quoted, _ := json.Marshal(value) // marshalling a string cannot fail
	w.buffer = append(w.buffer, quoted...)
}

func (w *actionWriter) number(name string, value float64) {
	w.key(name)
	w.buffer = strconv.AppendFloat(w.buffer, value, 'f', -1, 64)
}

func (w *actionWriter) boolean(name string, value bool) {
	w.key(name)
	w.buffer = strconv.AppendBool(w.buffer, value)
}
