package recorder

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// timeHeader is the metadata key of the timestamp on each message between processes.
const timeHeader = "zinniashore-time"

// UnaryClientInterceptor returns an interceptor that sends the hybrid logical clock of
// this process to the peer and observes the clock in the peer's answer.
func (r *Recorder) UnaryClientInterceptor() grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, answer any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		var header metadata.MD
		ctx = metadata.AppendToOutgoingContext(ctx, timeHeader, r.Stamp().String())
		err := invoke(ctx, method, request, answer, connection, append(options, grpc.Header(&header))...)
		r.observeHeader(header)
		return err
	}
}

// UnaryServerInterceptor returns an interceptor that observes the hybrid logical clock
// of the calling peer and returns the clock of this process.
func (r *Recorder) UnaryServerInterceptor() grpc.UnaryServerInterceptor {
	return func(ctx context.Context, request any, _ *grpc.UnaryServerInfo, handle grpc.UnaryHandler) (any, error) {
		if header, found := metadata.FromIncomingContext(ctx); found {
			r.observeHeader(header)
		}
		answer, err := handle(ctx, request)
		_ = grpc.SetHeader(ctx, metadata.Pairs(timeHeader, r.Stamp().String()))
		return answer, err
	}
}

func (r *Recorder) observeHeader(header metadata.MD) {
	for _, text := range header.Get(timeHeader) {
		if remote, err := ParseTimestamp(text); err == nil {
			r.Observe(remote)
		}
	}
}
