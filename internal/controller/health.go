package controller

import (
	"time"
)

// ready says whether users are served here. A controller that alone can't
// reach the store steps aside. In an outage that all share it stays: users get
// the same answer everywhere, and a controller that was taken out is brought
// back late, the later the more often that happens.
func (c *Controller) ready() bool {
	if open, _ := c.format.Writable(); !open && c.view.Loaded() {
		return false
	}
	return !c.storePartitioned(2 * time.Second)
}

// storeOutOfReach reports whether questions that the store must answer are not even worth a try. A store
// that is slow, or refuses a call now and then, is still of use.
func (c *Controller) storeOutOfReach() bool { return c.storePartitioned(5 * time.Second) }

// storePartitioned reports whether the store has been out of reach here for so long while others may reach
// it. Whoever hears less than most controllers can't know that all share its outage, and is rather
// cut off itself: as long as it called itself ready, its users stayed and asked in vain.
func (c *Controller) storePartitioned(unreachableFor time.Duration) bool {
	at, failing := c.follow.LastContact()
	if c.view.Loaded() && (!failing || time.Since(at) < unreachableFor) {
		return false
	}
	beats := c.peers.Latest(3 * time.Second)
	for _, b := range beats {
		if b.StoreOK {
			return true
		}
	}
	if alone := (len(beats)+1)*2 <= len(c.cfg.Peers)+1; alone {
		return true
	}
	return time.Since(c.startedAt) <= viewLoadTime
}

// viewLoadTime is how long loading the view may take where the store answers.
const viewLoadTime = 2 * time.Second
