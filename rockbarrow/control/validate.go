// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"net/url"
	"regexp"

	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

// MaxCallsLimit is the upper limit of a program's calls per run.
const MaxCallsLimit = 4096

// FailureDomain is the capacity of a failure domain according to the settings.
type FailureDomain struct {
	domain    string
	instances int
	disks     int
}

// NewFailureDomain returns a failure domain with its number of instances and the
// number of those that have a disk.
func NewFailureDomain(domain string, instances, disks int) FailureDomain {
	return FailureDomain{domain: domain, instances: instances, disks: disks}
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// validator collects the violations of a document.
type validator struct {
	snapshot       *Snapshot
	failureDomains map[string]FailureDomain
	violations     []*recordpb.Violation
}

// Validate checks a document and returns its violations by field path.
func Validate(doc *configpb.Document, domains []FailureDomain) []*recordpb.Violation {
	v := &validator{snapshot: NewSnapshot(doc), failureDomains: map[string]FailureDomain{}}
	for _, p := range domains {
		v.failureDomains[p.domain] = p
	}
	for _, c := range doc.GetCustomers() {
		v.customer(c)
	}
	for _, m := range doc.GetModels() {
		v.name("models", m.GetName())
	}
	for _, b := range doc.GetBindings() {
		v.binding(b)
	}
	for _, e := range doc.GetEndpoints() {
		v.endpoint(e)
	}
	for _, s := range doc.GetServices() {
		v.service(s)
	}
	for _, p := range doc.GetPrograms() {
		v.program(p)
	}
	for _, w := range doc.GetWithdrawals() {
		if w.GetMode() == configpb.Withdrawal_MODE_UNSPECIFIED {
			v.add(fmt.Sprintf("withdrawals[%s].mode", w.GetSubject()), "must be drain or fence")
		}
	}
	return v.violations
}

func (v *validator) add(field, description string) {
	v.violations = append(v.violations, &recordpb.Violation{Field: field, Description: description})
}

func (v *validator) name(list, name string) string {
	path := fmt.Sprintf("%s[%s]", list, name)
	if !namePattern.MatchString(name) {
		v.add(path+".name", "must be 1 to 63 characters of a-z, 0-9, dot, dash and underscore, and begin with a letter or digit")
	}
	return path
}

func (v *validator) customer(c *configpb.Customer) {
	path := v.name("customers", c.GetName())
	for i, h := range c.GetKeyHashes() {
		if len(h) != 64 {
			v.add(fmt.Sprintf("%s.key_hashes[%d]", path, i), "must be a SHA-256 hash in hexadecimal")
		}
		if o := v.snapshot.keys[h]; o.GetName() != c.GetName() {
			v.add(fmt.Sprintf("%s.key_hashes[%d]", path, i), "belongs to customer "+o.GetName()+" too")
		}
	}
}

func (v *validator) binding(b *configpb.Binding) {
	path := v.name("bindings", b.GetName())
	if len(b.GetDomains()) == 0 {
		v.add(path+".domains", "must list at least one failure domain")
	}
	durable := false
	for i, d := range b.GetDomains() {
		p, ok := v.failureDomains[d]
		if !ok {
			v.add(fmt.Sprintf("%s.domains[%d]", path, i), "no instance has the failure domain "+d)
			continue
		}
		durable = durable || p.instances >= 2 || p.disks >= 1
	}
	if !durable && len(b.GetDomains()) > 0 {
		v.add(path+".domains", "no allowed failure domain has two instances, or one with a disk, to store history")
	}
}

func (v *validator) endpoint(e *configpb.Endpoint) {
	path := v.name("endpoints", e.GetName())
	if _, ok := v.failureDomains[e.GetDomain()]; !ok {
		v.add(path+".domain", "no instance has the failure domain "+e.GetDomain())
	}
	u, err := url.Parse(e.GetAddress())
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		v.add(path+".address", "must be a URL such as http://10.0.0.7:8000")
	}
	if (len(e.GetModels()) == 0) == (e.GetService() == "") {
		v.add(path+".models", "must name either models or a service")
	}
	for i, m := range e.GetModels() {
		if _, ok := v.snapshot.models[m]; !ok {
			v.add(fmt.Sprintf("%s.models[%d]", path, i), "unknown model "+m)
		}
	}
	if s := e.GetService(); s != "" {
		if _, ok := v.snapshot.services[s]; !ok {
			v.add(path+".service", "unknown service "+s)
		}
	}
}

func (v *validator) service(s *configpb.Service) {
	path := v.name("services", s.GetName())
	b, ok := v.snapshot.bindings[s.GetBinding()]
	if !ok {
		v.add(path+".binding", "unknown binding "+s.GetBinding())
		return
	}
	if !anyAllowed(v.snapshot.byService[s.GetName()], b) {
		v.add(path+".binding", "no endpoint of the service is in an allowed failure domain")
	}
}

func (v *validator) program(p *configpb.Program) {
	path := v.name("programs", p.GetName())
	if _, ok := v.snapshot.customers[p.GetCustomer()]; !ok {
		v.add(path+".customer", "unknown customer "+p.GetCustomer())
	}
	if _, ok := v.snapshot.models[p.GetModel()]; !ok {
		v.add(path+".model", "unknown model "+p.GetModel())
	}
	if p.GetBudgetTokens() == 0 {
		v.add(path+".budget_tokens", "must be 1 or more")
	}
	if p.GetMaxCalls() > MaxCallsLimit {
		v.add(path+".max_calls", fmt.Sprintf("must be %d or less", MaxCallsLimit))
	}
	b, ok := v.snapshot.bindings[p.GetBinding()]
	if !ok {
		v.add(path+".binding", "unknown binding "+p.GetBinding())
		return
	}
	if !anyAllowed(v.snapshot.byModel[p.GetModel()], b) {
		v.add(path+".binding", "no endpoint with model "+p.GetModel()+" is in an allowed failure domain")
	}
}

func anyAllowed(endpoints []*configpb.Endpoint, b Binding) bool {
	for _, e := range endpoints {
		if b.Allows(e.GetDomain()) {
			return true
		}
	}
	return false
}
