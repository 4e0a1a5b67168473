package allotter

// Used returns the tokens that the bound known to keepers must cover.
func (p *Allocation) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used()
}
