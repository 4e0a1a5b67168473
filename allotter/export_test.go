package allotter

// Used returns what keepers must know to be covered by the bound.
func (p *Purse) Used() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.used()
}
