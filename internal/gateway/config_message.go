package gateway

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/marigoldwing/marigoldwing/api/peer/v1"
	"github.com/marigoldwing/marigoldwing/internal/accounts"
	"github.com/marigoldwing/marigoldwing/internal/fleet"
	"github.com/marigoldwing/marigoldwing/internal/limits"
)

var (
	errNoPeerConfig     = errors.New("the reply holds no configuration")
	errDigestsMalformed = errors.New("digests of an account's keys are malformed")
)

// kindsToProto maps the kinds of requests to those of messages. An unknown kind is read
// as non-idempotent, so that its requests are never sent twice.
var kindsToProto = map[fleet.RequestKind]peerv1.RequestKind{
	fleet.NonIdempotent: peerv1.RequestKind_REQUEST_KIND_NON_IDEMPOTENT,
	fleet.Idempotent:    peerv1.RequestKind_REQUEST_KIND_IDEMPOTENT,
	fleet.Streaming:     peerv1.RequestKind_REQUEST_KIND_STREAMING,
}

// configToProto converts a configuration for another gateway.
func configToProto(c *fleet.Config) *peerv1.GatewayConfig {
	message := &peerv1.GatewayConfig{Version: c.Version, MaxBodyBytes: c.MaxBodyBytes, HasAccounts: c.Accounts != nil}
	for _, r := range c.Routes() {
		message.Routes = append(message.Routes, routeToProto(r))
	}
	for _, name := range c.Services() {
		s, _ := c.Service(name)
		message.Services = append(message.Services, serviceToProto(s))
	}
	if c.Accounts != nil {
		for _, e := range c.Accounts.Entries() {
			message.Accounts = append(message.Accounts, accountToProto(e))
		}
	}
	return message
}

func routeToProto(r fleet.Route) *peerv1.GatewayRoute {
	message := &peerv1.GatewayRoute{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Kind: kindsToProto[r.Kind], Resumable: r.Resumable,
		TimeoutMs: r.Timeout.Milliseconds(), LatencyObjectiveMs: r.LatencyObjective.Milliseconds(), MaxEventGapMs: r.MaxEventGap.Milliseconds(),
		MaxAttempts: int32(r.MaxAttempts), Priority: int32(r.Priority), Public: r.Public,
	}
	for _, t := range r.Targets {
		message.Targets = append(message.Targets, &peerv1.GatewayTarget{Service: t.Service, Weight: int32(t.Weight)})
	}
	return message
}

func serviceToProto(s fleet.Service) *peerv1.GatewayService {
	message := &peerv1.GatewayService{Name: s.Name, HealthPath: s.HealthPath}
	if e := s.Engine; e != nil {
		message.Engine = &peerv1.GatewayEngine{
			Slots: int32(e.Slots), KvCapacityTokens: int64(e.KVCapacityTokens), KvBytesPerToken: int64(e.KVBytesPerToken),
			LinkMbps: e.LinkMbps, StageChangeMs: e.StageChangeTime.Milliseconds(),
		}
	}
	if s.Scaling != nil {
		message.Scaling = &peerv1.GatewayScaling{Min: int32(s.Scaling.Min), Max: int32(s.Scaling.Max), StartMs: s.Scaling.StartTime.Milliseconds()}
	}
	return message
}

func accountToProto(e accounts.Entry) *peerv1.GatewayAccount {
	message := &peerv1.GatewayAccount{Name: e.Name, KeyDigests: make([]byte, 0, len(e.Keys)*len(accounts.Digest{}))}
	if e.HasPriority {
		message.Priority = proto.Int32(int32(e.Priority))
	}
	for _, key := range e.Keys {
		message.KeyDigests = append(message.KeyDigests, key[:]...)
	}
	return message
}

// configFromProto converts the configuration of another gateway.
func configFromProto(message *peerv1.GatewayConfig) (*fleet.Config, error) {
	if message == nil || len(message.GetRoutes()) == 0 {
		return nil, errNoPeerConfig
	}
	routes := make([]fleet.Route, 0, len(message.GetRoutes()))
	for _, r := range message.GetRoutes() {
		routes = append(routes, routeFromProto(r))
	}
	services := make([]fleet.Service, 0, len(message.GetServices()))
	for _, s := range message.GetServices() {
		services = append(services, serviceFromProto(s))
	}
	config := fleet.NewConfig(message.GetVersion(), message.GetMaxBodyBytes(), routes, services)
	if !message.GetHasAccounts() {
		return config, nil
	}
	entries := make([]accounts.Entry, 0, len(message.GetAccounts()))
	for _, a := range message.GetAccounts() {
		entry, err := accountFromProto(a)
		if err != nil {
			return nil, err
		}
		entries = append(entries, entry)
	}
	config.Accounts = accounts.New(entries)
	return config, nil
}

func routeFromProto(r *peerv1.GatewayRoute) fleet.Route {
	route := fleet.Route{
		Name: r.GetName(), Host: r.GetHost(), Prefix: r.GetPrefix(), Kind: fleet.NonIdempotent, Resumable: r.GetResumable(),
		Timeout: millisecondsOf(r.GetTimeoutMs()), LatencyObjective: millisecondsOf(r.GetLatencyObjectiveMs()), MaxEventGap: millisecondsOf(r.GetMaxEventGapMs()),
		MaxAttempts: max(1, int(r.GetMaxAttempts())), Priority: int(r.GetPriority()), Public: r.GetPublic(),
	}
	for kind, wire := range kindsToProto {
		if wire == r.GetKind() {
			route.Kind = kind
		}
	}
	for _, t := range r.GetTargets() {
		route.Targets = append(route.Targets, fleet.Target{Service: t.GetService(), Weight: int(t.GetWeight())})
	}
	return route
}

func serviceFromProto(s *peerv1.GatewayService) fleet.Service {
	service := fleet.Service{Name: s.GetName(), HealthPath: s.GetHealthPath()}
	if e := s.GetEngine(); e != nil {
		service.Engine = &fleet.EngineSpec{
			Slots: int(e.GetSlots()), KVCapacityTokens: int(e.GetKvCapacityTokens()), KVBytesPerToken: int(e.GetKvBytesPerToken()),
			LinkMbps: e.GetLinkMbps(), StageChangeTime: millisecondsOf(e.GetStageChangeMs()),
		}
	}
	if scaling := s.GetScaling(); scaling != nil {
		service.Scaling = &fleet.Scaling{Min: int(scaling.GetMin()), Max: int(scaling.GetMax()), StartTime: millisecondsOf(scaling.GetStartMs())}
	}
	return service
}

func accountFromProto(a *peerv1.GatewayAccount) (accounts.Entry, error) {
	entry := accounts.Entry{Account: accounts.Account{Client: limits.Client{Name: a.GetName()}, Priority: int(a.GetPriority()), HasPriority: a.Priority != nil}}
	digests := a.GetKeyDigests()
	if len(digests)%len(accounts.Digest{}) != 0 {
		return accounts.Entry{}, errDigestsMalformed
	}
	for len(digests) > 0 {
		entry.Keys = append(entry.Keys, accounts.Digest(digests[:len(accounts.Digest{})]))
		digests = digests[len(accounts.Digest{}):]
	}
	return entry, nil
}

func millisecondsOf(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
