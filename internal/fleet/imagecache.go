package fleet

import "time"

// imageCache is which images a machine should hold. A machine caches the most recently used images,
// as far as they fit its cache together.
type imageCache struct {
	images  map[string]cachedImage
	totalGB float64
}

// cachedImage is an image that a machine should hold, or fetches.
type cachedImage struct {
	gb       float64
	lastUsed time.Time
	present  bool // it has come, as far as is known
}

// UseImage notes that a task on the machine uses an image, or waits for it.
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

// leastRecentlyUsed returns the image to evict first; of two used at the same time, the first by name.
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

// evictUnfetched forgets the images that have not come yet.
func (c *imageCache) evictUnfetched() {
	for name, image := range c.images {
		if !image.present {
			c.evict(name)
		}
	}
}

// HasImage reports whether the machine should hold an image, or fetches it.
func (c *imageCache) HasImage(image string) bool {
	_, ok := c.images[image]
	return ok
}

// LacksImage reports whether an image that a task here needs has not come yet.
func (c *imageCache) LacksImage(image string) bool { return !c.images[image].present }
