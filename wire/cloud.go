package wire

import (
	"errors"
	"net/url"
	"strconv"
	"time"
)

// Paths of the cloud API.
const (
	PathMachineTypes = "/machine_types"
	PathRentals      = "/rentals"
	PathRelease      = "/rentals/release"
)

// Limits of the cloud API.
const (
	MaxScaleOut = 50  // machines in a scale-out request
	MaxRelease  = 100 // machines in a release request
	MaxListPage = 500 // machines in a page of the machine list
)

// MinimumCharge is the minimum time that is billed for a machine when it is released.
const MinimumCharge = 60 * time.Second

// MachineType describes a type of machine that the cloud rents out.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"accelerators"`
	MemoryGB  float64  `cbor:"mem_gb"`
	CacheGB   float64  `cbor:"local_gb"` // local disk for cached images
	FetchGBps float64  `cbor:"fetch_gb_per_s"`
	Price     float64  `cbor:"price"`
	SpotPrice float64  `cbor:"spot_price"`
	BootS     float64  `cbor:"boot_s"` // seconds that a machine takes to boot
	Zones     []string `cbor:"apiaries"`
}

// DecodeTypes decodes and validates the list of machine types.
func DecodeTypes(body []byte) ([]MachineType, error) {
	var m struct {
		Types []MachineType `cbor:"frames"`
	}
	if err := Decode(body, &m); err != nil {
		return nil, err
	}
	for i := range m.Types {
		t := &m.Types[i]
		err := errors.Join(checkAmount("vcpus", &t.CPUs), checkAmount("accelerators", &t.GPUs), checkAmount("mem_gb", &t.MemoryGB),
			checkAmount("local_gb", &t.CacheGB), checkAmount("fetch_gb_per_s", &t.FetchGBps), checkAmount("price", &t.Price),
			checkAmount("spot_price", &t.SpotPrice), checkAmount("boot_s", &t.BootS), checkText("label", &t.Name))
		if err != nil {
			return nil, err
		}
	}
	if len(m.Types) == 0 {
		return nil, errors.New("no machine types")
	}
	return m.Types, nil
}

// ScaleOutRequest asks the cloud for machines. A RequestID must never be reused for a different request.
type ScaleOutRequest struct {
	RequestID string `cbor:"ask"`
	Type      string `cbor:"frame"`
	Zone      string `cbor:"apiary"`
	Spot      bool   `cbor:"borrowed"`
	Count     int    `cbor:"how_many"`
}

// MachineIDs lists machines by ID, in the response to a scale-out request and in a release request.
type MachineIDs struct {
	Machines []string `cbor:"hives"`
}

// MachineStage is the state of a rented machine as the cloud reports it.
type MachineStage string

// The stages of a rented machine.
const (
	MachineStarting MachineStage = "starting"
	MachineRunning  MachineStage = "running"
	MachineFailed   MachineStage = "failed"
)

// ListedMachine is one machine in the cloud's list of rented machines.
type ListedMachine struct {
	ID    string       `cbor:"uid"`
	Addr  string       `cbor:"endpoint"`
	Type  string       `cbor:"frame"`
	Zone  string       `cbor:"apiary"`
	Spot  bool         `cbor:"borrowed"`
	Stage MachineStage `cbor:"stage"`
	AgeS  float64      `cbor:"held_s"` // seconds since the machine was rented
}

// MachineList is one page of the cloud's list of rented machines.
type MachineList struct {
	Machines []ListedMachine `cbor:"hives"`
	More     bool            `cbor:"more"` // whether another page follows
}

// MachineListPath returns the path of the page of the machine list that starts after the given machine ID.
// An empty ID requests the first page.
func MachineListPath(after string) string {
	p := PathRentals + "?limit=" + strconv.Itoa(MaxListPage)
	if after != "" {
		p += "&from=" + url.QueryEscape(after)
	}
	return p
}
