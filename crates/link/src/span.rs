//! Trace spans, one for each hop, exported through `opentelemetry` as JSON lines or by OTLP.

use std::{cell, fs, io::Write as _, path, sync, time};

use opentelemetry::{
    KeyValue,
    trace::{
        SpanBuilder, SpanContext, SpanId, SpanKind, TraceContextExt as _, TraceFlags, TraceId,
        TraceState, Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_otlp::WithExportConfig as _;
use opentelemetry_sdk::{
    Resource,
    error::{OTelSdkError, OTelSdkResult},
    trace as sdk,
};

use crate::{error, trace};

/// The side of a hop that a span describes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The span describes the called side.
    Server,
    /// The span describes the calling side.
    Client,
    /// The span describes work without a remote call.
    Internal,
}

/// One finished span.
#[derive(Clone, Debug)]
pub struct Span {
    /// Ids of the span and its trace.
    pub context: trace::Context,
    /// The parent span.
    pub parent: Option<trace::Context>,
    /// Name of the operation.
    pub name: &'static str,
    /// Side of the hop.
    pub side: Side,
    /// Start time.
    pub start: time::SystemTime,
    /// Attributes.
    pub attributes: Vec<(&'static str, String)>,
}

/// Exports finished spans.
#[derive(Clone, Debug)]
pub struct Spans {
    provider: Option<sdk::SdkTracerProvider>,
}

impl Spans {
    /// Returns an exporter that discards all spans.
    pub fn none() -> Self {
        Self { provider: None }
    }

    /// Exports the spans of an instance to a file of JSON lines, to the OTLP collector at a URL by
    /// gRPC, to both or to neither. This must be called in the context of the runtime that runs the
    /// connection to the collector.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened or the URL is malformed.
    ///
    /// ```
    /// let path = std::env::temp_dir().join("apricotroute-doc-spans.jsonl");
    /// assert!(link::span::Spans::open(Some(&path), None, "west-1").is_ok());
    /// ```
    pub fn open(
        file: Option<&path::Path>,
        collector: Option<&str>,
        instance: &str,
    ) -> Result<Self, error::Error> {
        if file.is_none() && collector.is_none() {
            return Ok(Self::none());
        }
        let resource = Resource::builder()
            .with_service_name("apricotroute")
            .with_attribute(KeyValue::new("service.instance.id", instance.to_owned()))
            .build();
        let mut builder = sdk::SdkTracerProvider::builder()
            .with_resource(resource)
            .with_id_generator(PresetIds::default());
        if let Some(path) = file {
            let open = fs::OpenOptions::new().create(true).append(true).open(path);
            let file = open.map_err(|e| error::Error::new("open span file", path.display(), e))?;
            let lines =
                JsonExporter { file: sync::Mutex::new(file), instance: instance.to_owned() };
            builder = builder.with_batch_exporter(lines);
        }
        if let Some(url) = collector {
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_tonic()
                .with_endpoint(url)
                .build()
                .map_err(|e| error::Error::new("set up exporter for collector", url, e))?;
            builder = builder.with_batch_exporter(exporter);
        }
        Ok(Self { provider: Some(builder.build()) })
    }

    /// Records a span that ends now, if its trace is sampled.
    pub fn record(&self, span: Span) {
        let Some(provider) = self.provider.as_ref().filter(|_| span.context.is_sampled()) else {
            return;
        };
        let tracer = provider.tracer("apricotroute");
        let remote = |parent: trace::Context| {
            let remote = SpanContext::new(
                TraceId::from_bytes(parent.trace().to_be_bytes()),
                SpanId::from_bytes(parent.span().to_be_bytes()),
                TraceFlags::SAMPLED,
                true,
                TraceState::NONE,
            );
            opentelemetry::Context::new().with_remote_span_context(remote)
        };
        let parent = span.parent.map(remote).unwrap_or_default();
        let attributes = span.attributes.into_iter().map(|(key, value)| KeyValue::new(key, value));
        let kind = match span.side {
            Side::Server => SpanKind::Server,
            Side::Client => SpanKind::Client,
            Side::Internal => SpanKind::Internal,
        };
        let builder = SpanBuilder::from_name(span.name)
            .with_kind(kind)
            .with_start_time(span.start)
            .with_attributes(attributes.collect::<Vec<_>>());
        CURRENT.set(Some(span.context));
        drop(tracer.build_with_context(builder, &parent));
        CURRENT.set(None);
    }

    /// Exports all buffered spans.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            drop(provider.force_flush());
        }
    }
}

thread_local! {
    /// Context of the span being built, which was already sent along with the call.
    static CURRENT: cell::Cell<Option<trace::Context>> = const { cell::Cell::new(None) };
}

/// Assigns a span the ids that were chosen before it was built, so that they could be sent along
/// with the call.
#[derive(Debug, Default)]
struct PresetIds {
    random: sdk::RandomIdGenerator,
}

impl sdk::IdGenerator for PresetIds {
    fn new_trace_id(&self) -> TraceId {
        let preset = CURRENT.get().map(|next| TraceId::from_bytes(next.trace().to_be_bytes()));
        preset.unwrap_or_else(|| self.random.new_trace_id())
    }

    fn new_span_id(&self) -> SpanId {
        let preset = CURRENT.get().map(|next| SpanId::from_bytes(next.span().to_be_bytes()));
        preset.unwrap_or_else(|| self.random.new_span_id())
    }
}

/// Writes spans to a file as JSON lines.
#[derive(Debug)]
struct JsonExporter {
    file: sync::Mutex<fs::File>,
    instance: String,
}

impl JsonExporter {
    fn line(&self, span: &sdk::SpanData) -> String {
        let entry = |item: &KeyValue| (item.key.to_string(), item.value.to_string().into());
        let attributes: serde_json::Map<String, serde_json::Value> =
            span.attributes.iter().map(entry).collect();
        let parent = span.parent_span_id;
        let micros = |at: time::SystemTime| {
            at.duration_since(time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
        };
        let line = serde_json::json!({
            "trace": span.span_context.trace_id().to_string(),
            "span": span.span_context.span_id().to_string(),
            "parent": (parent != SpanId::INVALID).then(|| parent.to_string()),
            "name": span.name,
            "kind": format!("{:?}", span.span_kind).to_lowercase(),
            "instance": self.instance,
            "start_us": micros(span.start_time),
            "end_us": micros(span.end_time),
            "notes": attributes,
        });
        format!("{line}\n")
    }
}

impl sdk::SpanExporter for JsonExporter {
    async fn export(&self, batch: Vec<sdk::SpanData>) -> OTelSdkResult {
        let text: String = batch.iter().map(|span| self.line(span)).collect();
        let result = match self.file.lock() {
            Ok(mut file) => file.write_all(text.as_bytes()),
            Err(_) => Ok(()),
        };
        result.map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}
