package wire

import (
	"errors"
	"net/url"
	"strconv"
	"time"
)

// Paths of the cloud's interface.
const (
	PathTypes   = "/machine_types"
	PathRentals = "/rentals"
	PathRelease = "/rentals/release"
)

// Limits of the cloud's interface.
const (
	MaxScaleOut = 50
	MaxRelease  = 100
	MaxListPage = 500
)

// MinimumCharge is the time that a machine is charged for at least, once it is returned.
const MinimumCharge = 60 * time.Second

// MachineType is a kind of machine that the cloud rents out.
type MachineType struct {
	Name      string   `cbor:"label"`
	CPUs      float64  `cbor:"vcpus"`
	GPUs      float64  `cbor:"accelerators"`
	MemoryGB  float64  `cbor:"mem_gb"`
	CacheGB   float64  `cbor:"local_gb"`
	FetchGBps float64  `cbor:"fetch_gb_per_s"`
	Price     float64  `cbor:"price"`
	SpotPrice float64  `cbor:"spot_price"`
	BootS     float64  `cbor:"boot_s"`
	Zones     []string `cbor:"apiaries"`
}

// DecodeTypes reads the list of machine types.
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

// ScaleOutRequest asks the cloud for machines; a RequestID is never used for another request.
type ScaleOutRequest struct {
	RequestID string `cbor:"ask"`
	Type      string `cbor:"frame"`
	Zone      string `cbor:"apiary"`
	Spot      bool   `cbor:"borrowed"`
	Count     int    `cbor:"how_many"`
}

// MachineNames is a list of machines, in answers and in releases.
type MachineNames struct {
	Machines []string `cbor:"hives"`
}

// MachineStage is the state of a machine, as the cloud sees it.
type MachineStage string

// The stages of a rented machine.
const (
	MachineStarting MachineStage = "starting"
	MachineRunning  MachineStage = "running"
	MachineFailed   MachineStage = "failed"
)

// ListedMachine is one machine in the cloud's list.
type ListedMachine struct {
	ID    string       `cbor:"uid"`
	Addr  string       `cbor:"endpoint"`
	Type  string       `cbor:"frame"`
	Zone  string       `cbor:"apiary"`
	Spot  bool         `cbor:"borrowed"`
	Stage MachineStage `cbor:"stage"`
	AgeS  float64      `cbor:"held_s"`
}

// MachineList is a page of the cloud's list.
type MachineList struct {
	Machines []ListedMachine `cbor:"hives"`
	More     bool            `cbor:"more"`
}

// MachineListPath is the path of the page that begins after a machine.
func MachineListPath(after string) string {
	p := PathRentals + "?limit=" + strconv.Itoa(MaxListPage)
	if after != "" {
		p += "&from=" + url.QueryEscape(after)
	}
	return p
}
