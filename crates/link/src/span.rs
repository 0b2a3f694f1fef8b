//! Spans, one for each hop, exported through `opentelemetry` as JSON lines.

use std::{fs, io::Write as _, path, sync, time};

use opentelemetry::{
    KeyValue,
    trace::{
        SpanBuilder, SpanContext, SpanId, SpanKind, TraceContextExt as _, TraceFlags, TraceId,
        TraceState, Tracer as _, TracerProvider as _,
    },
};
use opentelemetry_sdk::{error::OTelSdkResult, trace as sdk};

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

    /// Spans are appended to a file of JSON lines.
    ///
    /// # Errors
    ///
    /// The file cannot be opened.
    ///
    /// ```
    /// let path = std::env::temp_dir().join("apricotroute-doc-spans.jsonl");
    /// assert!(link::span::Spans::to_file(&path, "west-1").is_ok());
    /// ```
    pub fn to_file(path: &path::Path, instance: &str) -> Result<Self, error::Error> {
        let open = fs::OpenOptions::new().create(true).append(true).open(path);
        let file = open.map_err(|e| error::Error::new("open span file", path.display(), e))?;
        let exporter = Lines { file: sync::Mutex::new(file), instance: instance.to_owned() };
        let provider = sdk::SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_id_generator(sdk::RandomIdGenerator::default())
            .build();
        Ok(Self { provider: Some(provider) })
    }

    /// Records a span that ends now.
    pub fn record(&self, span: Span) {
        let Some(provider) = self.provider.as_ref().filter(|_| span.context.is_sampled()) else {
            return;
        };
        let tracer = provider.tracer("apricotroute");
        let parent = span.parent.map(|parent| {
            let remote = SpanContext::new(
                TraceId::from_bytes(parent.trace().to_be_bytes()),
                SpanId::from_bytes(parent.span().to_be_bytes()),
                TraceFlags::SAMPLED,
                true,
                TraceState::NONE,
            );
            opentelemetry::Context::new().with_remote_span_context(remote)
        });
        let notes = span.notes.into_iter().map(|(key, value)| KeyValue::new(key, value));
        let mut attributes: Vec<_> = notes.collect();
        // The context was made before the span, so that it could travel with the call.
        let ids = format!("{:032x}-{:016x}", span.context.trace(), span.context.span());
        attributes.push(KeyValue::new(IDS, ids));
        let kind = match span.side {
            Side::Server => SpanKind::Server,
            Side::Client => SpanKind::Client,
            Side::Internal => SpanKind::Internal,
        };
        let builder = SpanBuilder::from_name(span.name)
            .with_kind(kind)
            .with_start_time(span.start)
            .with_attributes(attributes);
        let parent = parent.unwrap_or_default();
        drop(tracer.build_with_context(builder, &parent));
    }

    /// Writes out what is buffered.
    pub fn flush(&self) {
        if let Some(provider) = &self.provider {
            drop(provider.force_flush());
        }
    }
}

/// Attribute that carries the ids under which a span has travelled.
const IDS: &str = "apricotroute.ids";

#[derive(Debug)]
struct Lines {
    file: sync::Mutex<fs::File>,
    instance: String,
}

impl Lines {
    fn line(&self, span: &sdk::SpanData) -> String {
        let mut ids = None;
        let mut notes = serde_json::Map::new();
        for note in &span.attributes {
            if note.key.as_str() == IDS {
                ids = Some(note.value.to_string());
            } else {
                notes.insert(note.key.to_string(), note.value.to_string().into());
            }
        }
        let ids = ids.unwrap_or_default();
        let (trace, id) = ids.split_once('-').unwrap_or_default();
        let parent = span.parent_span_id;
        let micros = |at: time::SystemTime| {
            at.duration_since(time::UNIX_EPOCH).map_or(0, |d| d.as_micros() as u64)
        };
        let line = serde_json::json!({
            "trace": trace,
            "span": id,
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
        let file = self.file.lock();
        let written = match file {
            Ok(mut file) => file.write_all(text.as_bytes()),
            Err(_) => Ok(()),
        };
        written.map_err(|e| opentelemetry_sdk::error::OTelSdkError::InternalFailure(e.to_string()))
    }
}
