//! Spans, one for each hop, exported through `opentelemetry` as JSON lines or by OTLP.

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

/// Which side of a hop a span stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that is called.
    Server,
    /// The side that calls.
    Client,
    /// Neither.
    Internal,
}

/// One finished span.
#[derive(Clone, Debug)]
pub struct Span {
    /// Its place in the trace.
    pub context: trace::Context,
    /// The span above it.
    pub parent: Option<trace::Context>,
    /// What was done.
    pub name: &'static str,
    /// Side of the hop.
    pub side: Side,
    /// When it began.
    pub start: time::SystemTime,
    /// What it is about.
    pub notes: Vec<(&'static str, String)>,
}

/// Where finished spans go.
#[derive(Clone, Debug)]
pub struct Spans {
    provider: Option<sdk::SdkTracerProvider>,
}

impl Spans {
    /// Spans go nowhere.
    pub fn none() -> Self {
        Self { provider: None }
    }

    /// Spans of an instance go to a file of JSON lines, to an OTLP collector by gRPC at a URL, to
    /// both or to neither. It must be called inside the runtime that the collector is reached by.
    ///
    /// # Errors
    ///
    /// The file cannot be opened, or the URL is malformed.
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
            .with_id_generator(Preset::default());
        if let Some(path) = file {
            let open = fs::OpenOptions::new().create(true).append(true).open(path);
            let file = open.map_err(|e| error::Error::new("open spans", path.display(), e))?;
            let lines = Lines { file: sync::Mutex::new(file), instance: instance.to_owned() };
            builder = builder.with_batch_exporter(lines);
        }
        if let Some(url) = collector {
            let exporter = opentelemetry_otlp::SpanExporter::builder()
                .with_tonic()
                .with_endpoint(url)
                .build()
                .map_err(|e| error::Error::new("reach collector", url, e))?;
            builder = builder.with_batch_exporter(exporter);
        }
        Ok(Self { provider: Some(builder.build()) })
    }

    /// Records a span that ends now.
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
        let notes = span.notes.into_iter().map(|(key, value)| KeyValue::new(key, value));
        let kind = match span.side {
            Side::Server => SpanKind::Server,
            Side::Client => SpanKind::Client,
            Side::Internal => SpanKind::Internal,
        };
        let builder = SpanBuilder::from_name(span.name)
            .with_kind(kind)
            .with_start_time(span.start)
            .with_attributes(notes.collect::<Vec<_>>());
        NEXT.set(Some(span.context));
        drop(tracer.build_with_context(builder, &parent));
        NEXT.set(None);
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            drop(provider.force_flush());
        }
    }
}

thread_local! {
    /// The context that the span being built has travelled under.
    static NEXT: cell::Cell<Option<trace::Context>> = const { cell::Cell::new(None) };
}

/// Gives a span the ids that were chosen before it was built, so that they could travel with
/// the call.
#[derive(Debug, Default)]
struct Preset {
    random: sdk::RandomIdGenerator,
}

impl sdk::IdGenerator for Preset {
    fn new_trace_id(&self) -> TraceId {
        let preset = NEXT.get().map(|next| TraceId::from_bytes(next.trace().to_be_bytes()));
        preset.unwrap_or_else(|| self.random.new_trace_id())
    }

    fn new_span_id(&self) -> SpanId {
        let preset = NEXT.get().map(|next| SpanId::from_bytes(next.span().to_be_bytes()));
        preset.unwrap_or_else(|| self.random.new_span_id())
    }
}

#[derive(Debug)]
struct Lines {
    file: sync::Mutex<fs::File>,
    instance: String,
}

impl Lines {
    fn line(&self, span: &sdk::SpanData) -> String {
        let note = |note: &KeyValue| (note.key.to_string(), note.value.to_string().into());
        let notes: serde_json::Map<String, serde_json::Value> =
            span.attributes.iter().map(note).collect();
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
            "notes": notes,
        });
        format!("{line}\n")
    }
}

impl sdk::SpanExporter for Lines {
    async fn export(&self, batch: Vec<sdk::SpanData>) -> OTelSdkResult {
        let text: String = batch.iter().map(|span| self.line(span)).collect();
        let written = match self.file.lock() {
            Ok(mut file) => file.write_all(text.as_bytes()),
            Err(_) => Ok(()),
        };
        written.map_err(|e| OTelSdkError::InternalFailure(e.to_string()))
    }
}
