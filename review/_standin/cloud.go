package main

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"amberdeal.example/amberdeal/wire"
)

// rental is a machine that the cloud has rented out.
type rental struct {
	wire.ListedMachine
	asked  time.Time
	up     time.Time // when its worker begins; zero until then
	gone   time.Time // when it was returned; zero while it is rented
	worker *machine
}

// cloud stands for the platform that rents machines by the second.
type cloud struct {
	w *world

	mu      sync.Mutex
	started time.Time
	rentals []*rental
	answers map[string][]string // machines by the name of the request
}

func newCloud(w *world) *cloud {
	return &cloud{w: w, started: time.Now(), answers: map[string][]string{}}
}

// add rents a machine, which is up after its boot time.
func (c *cloud) add(typ, zone string, spot bool, boot time.Duration) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.addLocked(typ, zone, spot, boot)
}

func (c *cloud) addLocked(typ, zone string, spot bool, boot time.Duration) string {
	id := fmt.Sprintf("n-%06d", len(c.rentals)+1)
	r := &rental{ListedMachine: wire.ListedMachine{ID: id, Type: typ, Zone: zone, Spot: spot}, asked: time.Now()}
	if boot == 0 { // it was up before this world began
		r.asked = time.Now().Add(-time.Hour)
	}
	m, err := newMachine(c.w, id, typ, zone, spot)
	if err != nil {
		c.w.rec.printf("machine %s can't listen: %v", id, err)
		return id
	}
	r.worker, r.Addr = m, m.addr
	c.rentals = append(c.rentals, r)
	c.w.rec.printf("cloud: %s, a %s in %s, is rented", id, typ, zone)
	start := func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if r.gone.IsZero() {
			r.up = time.Now()
			m.begin()
		}
	}
	if boot == 0 {
		r.up = r.asked
		m.begin()
	} else {
		time.AfterFunc(boot, start)
	}
	return id
}

// machines returns the rented machines.
func (c *cloud) machines() (out []*machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.rentals {
		if r.gone.IsZero() && !r.up.IsZero() {
			out = append(out, r.worker)
		}
	}
	return out
}

// stop ends all machines.
func (c *cloud) stop() {
	for _, m := range c.machines() {
		m.end()
	}
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, wire.MaxBodyBytes))
	if err != nil {
		return
	}
	status, v := c.handle(r, body)
	reply(out, status, v)
}

func (c *cloud) handle(r *http.Request, body []byte) (int, any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r.Method + " " + r.URL.Path {
	case "GET " + wire.PathMachineTypes:
		return 200, map[string]any{"frames": c.w.types}
	case "POST " + wire.PathRentals:
		var ask wire.ScaleOutRequest
		if wire.Decode(body, &ask) != nil {
			return 400, wire.Failure{Error: "malformed"}
		}
		return c.rent(ask)
	case "POST " + wire.PathRelease:
		var names wire.MachineIDs
		if wire.Decode(body, &names) != nil {
			return 400, wire.Failure{Error: "malformed"}
		}
		for _, id := range names.Machines {
			c.release(id)
		}
		return 200, map[string]any{}
	case "GET " + wire.PathRentals:
		return 200, c.list(r.URL.Query().Get("from"), r.URL.Query().Get("limit"))
	}
	return 400, wire.Failure{Error: "no such call"}
}

// rent answers a request for machines. A repeated request that was granted gets the same answer.
func (c *cloud) rent(ask wire.ScaleOutRequest) (int, any) {
	if names, known := c.answers[ask.RequestID]; known {
		return 200, wire.MachineIDs{Machines: names}
	}
	free := c.w.capacity[ask.Zone]
	for _, r := range c.rentals {
		if r.gone.IsZero() && r.Zone == ask.Zone {
			free--
		}
	}
	if ask.Spot || free <= 0 {
		return 503, wire.Failure{Error: "no capacity"}
	}
	var names []string
	for range min(free, ask.Count) {
		names = append(names, c.addLocked(ask.Type, ask.Zone, false, wire.Seconds(c.w.types[0].BootS)))
	}
	c.answers[ask.RequestID] = names
	return 200, wire.MachineIDs{Machines: names}
}

// release returns a machine to the cloud, with all that is on it.
func (c *cloud) release(id string) {
	for _, r := range c.rentals {
		if r.ID == id && r.gone.IsZero() {
			r.gone = time.Now()
			c.w.rec.printf("cloud: %s is returned", id)
			r.worker.end()
		}
	}
}

// list returns a page of the machines, as they were when the list was made.
func (c *cloud) list(from, limit string) wire.MachineList {
	n, err := strconv.Atoi(limit)
	if err != nil || n > wire.MaxListPage {
		n = wire.MaxListPage
	}
	at := time.Now().Add(-c.w.listLag)
	page := wire.MachineList{Machines: []wire.ListedMachine{}}
	sort.Slice(c.rentals, func(i, k int) bool { return c.rentals[i].ID < c.rentals[k].ID })
	for _, r := range c.rentals {
		if r.ID <= from || r.asked.After(at) || !r.gone.IsZero() && !r.gone.After(at) {
			continue
		}
		if len(page.Machines) == n {
			page.More = true
			break
		}
		m := r.ListedMachine
		m.Stage, m.AgeS = wire.MachineStarting, at.Sub(r.asked).Seconds()
		if !r.up.IsZero() && !r.up.After(at) {
			m.Stage = wire.MachineRunning
		}
		page.Machines = append(page.Machines, m)
	}
	return page
}

// reply writes a CBOR response.
func reply(out http.ResponseWriter, status int, v any) {
	out.Header().Set("Content-Type", "application/cbor")
	body := wire.Encode(v)
	out.Header().Set("Content-Length", strconv.Itoa(len(body)))
	out.WriteHeader(status)
	_, _ = out.Write(body)
}
