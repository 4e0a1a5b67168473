package treasurer

// queue is a FIFO queue that also takes entries back at the front when they
// could not be sent.
type queue struct{ items []*entry }

func (q *queue) len() int { return len(q.items) }

func (q *queue) push(e *entry) { q.items = append(q.items, e) }

func (q *queue) front() *entry {
	if len(q.items) == 0 {
		return nil
	}
	return q.items[0]
}

func (q *queue) pop() *entry {
	e := q.items[0]
	q.items[0] = nil
	q.items = q.items[1:]
	return e
}

// putBack inserts entries at the front in their given order.
func (q *queue) putBack(back []*entry) {
	q.items = append(append(make([]*entry, 0, len(back)+len(q.items)), back...), q.items...)
}
