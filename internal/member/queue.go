package member

// enqueue makes an attempt wait for a connection, at most as long as one may take to be established.
func (p *Pool) enqueue(a *attempt, m *member) {
	if !m.awaitsBarrier() {
		p.outcomes.Count("connects_waited")
	}
	a.queued.Value, m.congested.Value = a, m
	m.waiting.PushBack(&a.queued)
	if !m.congested.InList(&p.congested) {
		p.congested.PushBack(&m.congested)
	}
	p.expireAt(a, min(a.writeDeadline, p.loop.Now()+p.connectTimeout))
}

// serveQueue gives idle connections to the attempts that wait for the member, and new ones while more may be opened.
func (p *Pool) serveQueue(m *member) {
	for next := m.waiting.Front(); next != nil; next = m.waiting.Front() {
		a, c := next.Value, p.takeIdle(m)
		if c == nil && (m.waiting.Len() <= m.barriers || !p.connectLimiter.MayConnect(&m.connections)) {
			return
		}
		next.Remove()
		p.expireAt(a, a.writeDeadline)
		if c == nil {
			p.connect(a, m)
			continue
		}
		c.attempt, a.connection = a, c
		c.start() // also ends the attempt if its deadline has passed
	}
	m.congested.Remove()
}

// serveQueues serves the queues of all members, once more connections may be opened.
func (p *Pool) serveQueues() {
	for link := p.congested.Front(); link != nil; {
		next := link.Next()
		p.serveQueue(link.Value)
		link = next
	}
}

// connectFailed handles a connection that could not be established. If the member has no other connection, all attempts that
// wait for it fail.
func (p *Pool) connectFailed(m *member) {
	if m.connections.None() {
		for link := m.waiting.Front(); link != nil; link = m.waiting.Front() {
			link.Remove()
			p.fail(link.Value, Failure{NotConnected, false, errSharedConnectFailed})
		}
	}
	p.serveQueues()
}
