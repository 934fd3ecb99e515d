package lease

import "container/heap"

// evaluationQueue is a heap of proxies, ordered by when they are due for a decision. Proxies that are due at the same time
// are ordered by name, so that the same inputs always lead to the same decisions. The queue must only be modified by add,
// remove and setDue.
type evaluationQueue []*proxyState

func (q evaluationQueue) Len() int { return len(q) }

func (q evaluationQueue) Less(a, b int) bool {
	if q[a].nextEvaluationMs != q[b].nextEvaluationMs {
		return q[a].nextEvaluationMs < q[b].nextEvaluationMs
	}
	return q[a].name < q[b].name
}

func (q evaluationQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].queueIndex = a
	q[b].queueIndex = b
}

// Push implements heap.Interface.
func (q *evaluationQueue) Push(element any) {
	proxy := element.(*proxyState)
	proxy.queueIndex = len(*q)
	*q = append(*q, proxy)
}

// Pop implements heap.Interface.
func (q *evaluationQueue) Pop() any {
	last := len(*q) - 1
	proxy := (*q)[last]
	*q = (*q)[:last]
	return proxy
}

func (q *evaluationQueue) add(proxy *proxyState) { heap.Push(q, proxy) }

func (q *evaluationQueue) remove(proxy *proxyState) { heap.Remove(q, proxy.queueIndex) }

// setDue changes when a proxy is due for a decision, and moves the proxy to its new position in the queue.
func (q *evaluationQueue) setDue(proxy *proxyState, dueMs float64) {
	if proxy.nextEvaluationMs == dueMs {
		return
	}
	proxy.nextEvaluationMs = dueMs
	heap.Fix(q, proxy.queueIndex)
}
