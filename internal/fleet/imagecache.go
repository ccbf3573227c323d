package fleet

import "time"

// cachedImage is an image that a machine should hold.
type cachedImage struct {
	gb       float64
	lastUsed time.Time
	present  bool // it has come, as far as is known
}

func (m *Machine) evictImage(image string) {
	m.imagesGB -= m.images[image].gb
	delete(m.images, image)
}

// UseImage notes that a task on the machine uses an image, or waits for it. The machine caches the
// most recently used images, as far as they fit its cache together.
func (m *Machine) UseImage(now time.Time, image string, gb, cacheGB float64, here bool) {
	c, known := m.images[image]
	if !known {
		m.imagesGB += gb
	}
	m.images[image] = cachedImage{gb, now, here || c.present}
	for m.imagesGB > cacheGB && len(m.images) > 1 {
		oldest := ""
		for name, c := range m.images {
			if o := m.images[oldest]; oldest == "" || c.lastUsed.Before(o.lastUsed) || c.lastUsed.Equal(o.lastUsed) && name < oldest {
				oldest = name
			}
		}
		if oldest == image {
			return
		}
		m.evictImage(oldest)
	}
}

// HasImage reports whether the machine should hold an image, or fetches it.
func (m *Machine) HasImage(image string) bool { _, ok := m.images[image]; return ok }

// LacksImage reports whether an image that a task here needs has not come yet.
func (m *Machine) LacksImage(image string) bool {
	c, ok := m.images[image]
	return !ok || !c.present
}
