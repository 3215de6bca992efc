package recorder

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// timeHeader carries a timestamp on each message between processes.
const timeHeader = "zinniashore-time"

// UnaryClientInterceptor returns an interceptor that carries the clock of this
// process to the peer and takes over the peer's from the answer.
func (r *Recorder) UnaryClientInterceptor() grpc.UnaryClientInterceptor {
	return func(ctx context.Context, method string, request, answer any, connection *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		var header metadata.MD
		ctx = metadata.AppendToOutgoingContext(ctx, timeHeader, r.Stamp().String())
		err := invoke(ctx, method, request, answer, connection, append(options, grpc.Header(&header))...)
		r.observeHeader(header)
		return err
	}
}

// UnaryServerInterceptor returns an interceptor that takes over the clock of the
// peer that asks and carries that of this process back.
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
