package config

import (
	"net/netip"
	"slices"
	"time"

	"magnoliahoist/document"
)

// minSecretLength is the least length of a secret in bytes; 16 hexadecimal digits are 64 bits.
const minSecretLength = 16

// validator records problems with the settings of a host.
type validator struct{ document.Checker }

// require records a problem if the condition does not hold, with the accepted values that hostFields states for the path.
func (v *validator) require(holds bool, path string, value any) {
	v.Require(holds, path, value, allowedValues(path))
}

// Validate checks the settings and reports all problems. It reads no files, such as those of certificates. The error is of
// type document.Problems.
func (h Host) Validate() error {
	v := &validator{}
	v.require(h.ID == "" || document.ValidName(h.ID), "id", h.ID)
	v.require(document.ValidName(h.Domain), "domain", h.Domain)
	v.require(document.ValidName(h.WitnessGroup), "group", h.WitnessGroup)
	h.checkAddresses(v)
	h.checkAccess(v)
	h.Limits.check(v)
	h.checkTimes(v)
	v.require(h.HoldersPerAccount >= 1 && h.HoldersPerAccount <= 64, "holders", h.HoldersPerAccount)
	v.require(h.Overcommit >= 1 && h.Overcommit <= 4, "overcommit", h.Overcommit)
	h.Placement.check(v)
	v.require(validLevel(h.Log.Level), "log.level", h.Log.Level)
	v.require(h.Log.Format == "text" || h.Log.Format == "json", "log.format", h.Log.Format)
	v.require(h.TimelineSize >= 16 && h.TimelineSize <= 1<<20, "ring", h.TimelineSize)
	return v.Err()
}

func (h Host) checkAddresses(v *validator) {
	used := map[netip.AddrPort]string{}
	for _, listen := range []struct{ path, address string }{
		{"listen.callers", h.Listen.Callers}, {"listen.operators", h.Listen.Operators}, {"listen.peers", h.Listen.Peers},
	} {
		address, err := netip.ParseAddrPort(listen.address)
		v.require(err == nil && (listen.path != "listen.peers" || !address.Addr().IsUnspecified()), listen.path, listen.address)
		if err != nil || address.Port() == 0 { // the operating system chooses a free port
			continue
		}
		v.Require(used[address] == "", listen.path, listen.address, "an address other than that of "+used[address])
		used[address] = listen.path
	}
	for _, service := range []struct{ path, address string }{
		{"platform.table", h.Platform.Table}, {"platform.objects", h.Platform.Objects}, {"platform.hosts", h.Platform.Hosts}, {"platform.weights", h.Platform.Weights},
	} {
		if service.path == "platform.weights" && service.address == "" {
			continue
		}
		address, err := netip.ParseAddrPort(service.address)
		v.require(err == nil && address.Port() != 0 && !address.Addr().IsUnspecified(), service.path, service.address)
	}
}

// checkAccess checks the secrets and certificates, and that listeners beyond loopback require authentication of operators
// and other hosts.
func (h Host) checkAccess(v *validator) {
	v.require(h.Secret == "" || len(h.Secret) >= minSecretLength, "secret", "(hidden)")
	v.require(h.Credential == "" || len(h.Credential) >= minSecretLength, "credential", "(hidden)")
	v.Require(loopbackOrInvalid(h.Listen.Peers) || h.Secret != "" || h.TLS.Peers.HasCertificate(), "secret", "", "a secret, or tls.peers, because listen.peers is not a loopback address")
	v.Require(loopbackOrInvalid(h.Listen.Operators) || h.Credential != "", "credential", "", "a credential, because listen.operators is not a loopback address")
	h.TLS.Callers.check(v, "tls.callers", false)
	h.TLS.Operators.check(v, "tls.operators", false)
	h.TLS.Peers.check(v, "tls.peers", true)
}

// check checks that the files are set together. With requireCA, a certificate needs the authorities of the other side.
func (f TLSFiles) check(v *validator, path string, requireCA bool) {
	v.Require(f.Cert == "" || f.Key != "", path+".key", f.Key, "the key of "+path+".cert")
	v.Require(f.Key == "" || f.Cert != "", path+".cert", f.Cert, "the certificate of "+path+".key")
	v.Require(f.CA == "" || f.Cert != "", path+".cert", f.Cert, "a certificate, because "+path+".ca is set")
	v.Require(!requireCA || f.Cert == "" || f.CA != "", path+".ca", f.CA, "the authorities of the other hosts' certificates")
}

func (l Limits) check(v *validator) {
	v.require(l.MaxBodyBytes >= 1<<10 && l.MaxBodyBytes <= 1<<30, "limits.body", l.MaxBodyBytes)
	v.require(l.MaxHeaderBytes >= 1<<10 && l.MaxHeaderBytes <= 1<<20, "limits.header", l.MaxHeaderBytes)
	v.require(l.MaxConnections >= 1 && l.MaxConnections <= 1_000_000, "limits.connections", l.MaxConnections)
	v.require(l.ReadTimeout > 0, "limits.read", l.ReadTimeout)
	v.require(l.IdleTimeout > 0, "limits.idle", l.IdleTimeout)
	v.require(l.CallTimeout > 0, "limits.call", l.CallTimeout)
}

func (p Placement) check(v *validator) {
	v.require(p.ModelLoadRate >= 0.01 && p.ModelLoadRate <= 10_000, "placement.rate", p.ModelLoadRate)
	v.require(p.MaxModelLoads >= 1 && p.MaxModelLoads <= 10_000, "placement.full", p.MaxModelLoads)
	v.require(p.MaxAdapterLoads >= 1 && p.MaxAdapterLoads <= 100_000, "placement.knee", p.MaxAdapterLoads)
	v.require(p.TokensPerReplica >= 0 && p.TokensPerReplica <= 1_000_000, "placement.replica", p.TokensPerReplica)
}

// checkTimes checks the durations. The freshness window is at most 5 s, because a change is in force one window after its
// acceptance, and has to be in force within 10 s in total.
func (h Host) checkTimes(v *validator) {
	window, poll, lag := time.Duration(h.FreshnessWindow), time.Duration(h.TablePollInterval), time.Duration(h.BalancerLag)
	v.require(window >= 500*time.Millisecond && window <= 5*time.Second && poll <= window/2, "window", h.FreshnessWindow)
	v.require(poll >= 50*time.Millisecond, "poll", h.TablePollInterval)
	v.require(lag >= 0 && lag <= time.Minute, "lag", h.BalancerLag)
}

func validLevel(level string) bool {
	return slices.Contains([]string{"trace", "debug", "info", "warn", "error"}, level)
}

// loopbackOrInvalid reports whether an address is a loopback address or can't be parsed.
func loopbackOrInvalid(address string) bool {
	parsed, err := netip.ParseAddrPort(address)
	return err != nil || parsed.Addr().Unmap().IsLoopback() // checkAddresses reports an invalid address
}
