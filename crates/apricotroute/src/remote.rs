//! What the command asks of a running instance over HTTP.

use std::time;

use error_stack::ResultExt as _;

use crate::error;

/// A response of an instance.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

impl Answer {
    /// The body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// Connections to an instance.
#[derive(Clone, Debug)]
pub struct Remote {
    agent: ureq::Agent,
    to: String,
}

impl Remote {
    /// An instance at `IP:PORT`.
    pub fn new(to: &str) -> Self {
        const CONNECT: time::Duration = time::Duration::from_secs(2);
        const LONGEST: time::Duration = time::Duration::from_mins(15);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .no_delay(true)
            .timeout_connect(Some(CONNECT))
            .timeout_global(Some(LONGEST))
            .build();
        Self { agent: config.into(), to: to.to_owned() }
    }

    /// `GET`.
    pub fn get(&self, path: &str) -> error::Result<Answer> {
        self.read(self.agent.get(self.url(path)).call())
    }

    /// `DELETE`.
    pub fn delete(&self, path: &str) -> error::Result<Answer> {
        self.read(self.agent.delete(self.url(path)).call())
    }

    /// `POST` of JSON.
    pub fn post(&self, path: &str, body: &[u8]) -> error::Result<Answer> {
        let request = self.agent.post(self.url(path)).header("Content-Type", "application/json");
        self.read(request.send(body))
    }

    /// A request to a service, with further headers.
    pub fn request(
        &self,
        service: &str,
        body: &[u8],
        headers: &[(&str, String)],
    ) -> error::Result<Answer> {
        let mut request = self.agent.post(self.url(&format!("/v1/requests/{service}")));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.read(request.send(body))
    }

    /// `PUT` of JSON.
    pub fn put(&self, path: &str, body: &[u8]) -> error::Result<Answer> {
        let request = self.agent.put(self.url(path)).header("Content-Type", "application/json");
        self.read(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.to)
    }

    fn read(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> error::Result<Answer> {
        const LARGEST: u64 = 256 << 20;
        let fault = || error::Error::new("call", &self.to);
        let mut response = result.change_context_lazy(fault)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(LARGEST).read_to_string();
        Ok(Answer { status, body: body.change_context_lazy(fault)? })
    }
}
