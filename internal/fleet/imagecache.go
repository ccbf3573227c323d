package fleet

import "time"

// imageCache tracks which images a machine should hold. A machine caches the most recently used images
// that fit in its cache together.
type imageCache struct {
	images  map[string]cachedImage
	totalGB float64
}

// cachedImage is an image that a machine should hold or is fetching.
type cachedImage struct {
	gb       float64
	lastUsed time.Time
	present  bool // it has been fetched, as far as is known
}

// UseImage records that a task on the machine uses an image or waits for it, and evicts the least
// recently used images while the cache is over its size of cacheGB.
func (c *imageCache) UseImage(now time.Time, image string, gb, cacheGB float64, present bool) {
	known, ok := c.images[image]
	if !ok {
		c.totalGB += gb
	}
	c.images[image] = cachedImage{gb, now, present || known.present}
	for c.totalGB > cacheGB && len(c.images) > 1 {
		oldest := c.leastRecentlyUsed()
		if oldest == image {
			return
		}
		c.evict(oldest)
	}
}

// leastRecentlyUsed returns the image to evict first. Ties are broken by name.
func (c *imageCache) leastRecentlyUsed() string {
	oldest := ""
	for name, image := range c.images {
		known := c.images[oldest]
		if oldest == "" || image.lastUsed.Before(known.lastUsed) || image.lastUsed.Equal(known.lastUsed) && name < oldest {
			oldest = name
		}
	}
	return oldest
}

func (c *imageCache) evict(image string) {
	c.totalGB -= c.images[image].gb
	delete(c.images, image)
}

// evictUnfetched evicts the images that have not been fetched yet.
func (c *imageCache) evictUnfetched() {
	for name, image := range c.images {
		if !image.present {
			c.evict(name)
		}
	}
}

// HasImage reports whether the machine should hold an image or is fetching it.
func (c *imageCache) HasImage(image string) bool {
	_, ok := c.images[image]
	return ok
}

// LacksImage reports whether an image that a task on the machine needs has not been fetched yet.
func (c *imageCache) LacksImage(image string) bool { return !c.images[image].present }
