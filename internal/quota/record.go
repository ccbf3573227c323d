package quota

import (
	"amberdeal.example/amberdeal/internal/scheduler"
	"amberdeal.example/amberdeal/internal/store"
)

// resourcesOf maps a grant of the record to the type that plans are made with.
func resourcesOf(g store.QuotaGrant) scheduler.Resources {
	return scheduler.Resources{CPUs: g.CPUs, GPUs: g.GPUs}
}

// grantOf maps resources to a grant of the record, which limits CPUs and GPUs only.
func grantOf(r scheduler.Resources) store.QuotaGrant {
	return store.QuotaGrant{CPUs: r.CPUs, GPUs: r.GPUs}
}

// lesser gives the lesser of two amounts of each kind.
func minResources(a, b scheduler.Resources) scheduler.Resources {
	return scheduler.Resources{CPUs: min(a.CPUs, b.CPUs), GPUs: min(a.GPUs, b.GPUs)}
}
