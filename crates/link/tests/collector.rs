//! Spans are exported to an OTLP collector with the ids that were sent along with the calls.

use std::{net, sync, time};

use link::{Context, span};
use opentelemetry_proto::tonic::collector::trace::v1::{
    ExportTraceServiceRequest, ExportTraceServiceResponse,
    trace_service_server::{TraceService, TraceServiceServer},
};
use tokio_stream::wrappers;

/// A fake collector that records the requests it receives.
#[derive(Clone, Default)]
struct Collector {
    requests: sync::Arc<sync::Mutex<Vec<ExportTraceServiceRequest>>>,
}

#[tonic::async_trait]
impl TraceService for Collector {
    async fn export(
        &self,
        request: tonic::Request<ExportTraceServiceRequest>,
    ) -> Result<tonic::Response<ExportTraceServiceResponse>, tonic::Status> {
        self.requests.lock().unwrap().push(request.into_inner());
        Ok(tonic::Response::new(ExportTraceServiceResponse::default()))
    }
}

#[test]
fn spans_arrive() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let collector = Collector::default();
    let address = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = runtime.block_on(tokio::net::TcpListener::bind(address)).unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let incoming = wrappers::TcpListenerStream::new(listener);
    let service = TraceServiceServer::new(collector.clone());
    let server = tonic::transport::Server::builder().add_service(service);
    runtime.spawn(server.serve_with_incoming(incoming));

    let _guard = runtime.enter();
    let spans = span::Spans::open(None, Some(&url), "west-1").unwrap();
    let parent = Context::new();
    let context = parent.child();
    let start = time::SystemTime::now();
    let attributes = vec![("job", "west-7".to_owned())];
    let side = span::Side::Client;
    spans.record(span::Span {
        context,
        parent: Some(parent),
        name: "task",
        side,
        start,
        attributes,
    });
    spans.flush();

    let requests = collector.requests.lock().unwrap();
    let span = &requests[0].resource_spans[0].scope_spans[0].spans[0];
    assert_eq!(span.trace_id, context.trace().to_be_bytes());
    assert_eq!(span.span_id, context.span().to_be_bytes());
    assert_eq!(span.parent_span_id, parent.span().to_be_bytes());
    assert_eq!(span.name, "task");
}
