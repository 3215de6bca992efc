package router

import (
	"context"

	"google.golang.org/grpc"

	"zinniashore.example/router/routerpb"
)

// Register registers the gRPC service to which peers forward requests.
func (r *Router) Register(s grpc.ServiceRegistrar) {
	routerpb.RegisterForwardServer(s, &forwardServer{router: r})
}

// forwardServer implements the gRPC service Forward.
type forwardServer struct {
	routerpb.UnimplementedForwardServer
	router *Router
}

// Forward implements routerpb.ForwardServer.
func (s *forwardServer) Forward(ctx context.Context, message *routerpb.ForwardRequest) (*routerpb.ForwardAnswer, error) {
	r := s.router
	r.observeTimestamp(message.GetTime())
	request := r.withDefaults(decodeRequest(message, r.Clock.Now()))
	response := r.serveForward(ctx, message, request)
	answer := encodeAnswer(r.countOutcome(response))
	answer.Time = r.timestamp()
	answer.Room = r.capacityMessage(request.service())
	return answer, nil
}

func (r *Router) serveForward(ctx context.Context, message *routerpb.ForwardRequest, request Request) Response {
	refusal, ok := r.admit(&request)
	if !ok {
		return refusal
	}
	defer r.finish(&request)
	if !r.recordForwardID(message.GetId()) {
		return request.unknown("a forward came twice")
	}
	if message.GetMode() == modeExecute {
		return r.execute(ctx, request, false)
	}
	if home := r.home(request.Key); !home.Known || !home.Local {
		return request.notRun("not the home of the key", busyRetryAfter)
	}
	return r.decide(context.WithoutCancel(ctx), request)
}

func (r *Router) home(key string) KeyHome {
	if r.Keys == nil {
		return KeyHome{}
	}
	return r.Keys.Home(key)
}

func (r *Router) recordForwardID(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen.add(id)
}
