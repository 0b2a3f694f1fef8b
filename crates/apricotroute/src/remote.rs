//! HTTP requests of the command to a running instance.

use std::time;

use error_stack::ResultExt as _;

use crate::error;

/// An HTTP response of an instance.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Response body.
    pub body: String,
}

impl Response {
    /// Returns the body as JSON, or `null` if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }
}

/// An HTTP client for one instance.
#[derive(Clone, Debug)]
pub struct Remote {
    agent: ureq::Agent,
    address: String,
}

impl Remote {
    /// Creates a client for the instance at `IP:PORT`.
    pub fn new(address: &str) -> Self {
        const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(2);
        const TOTAL_TIMEOUT: time::Duration = time::Duration::from_mins(15);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .no_delay(true)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .timeout_global(Some(TOTAL_TIMEOUT))
            .build();
        Self { agent: config.into(), address: address.to_owned() }
    }

    /// Sends a `GET` request.
    pub fn get(&self, path: &str) -> error::Result<Response> {
        self.read_response(self.agent.get(self.url(path)).call())
    }

    /// Sends a `DELETE` request.
    pub fn delete(&self, path: &str) -> error::Result<Response> {
        self.read_response(self.agent.delete(self.url(path)).call())
    }

    /// Sends a `POST` request with a JSON body.
    pub fn post(&self, path: &str, body: &[u8]) -> error::Result<Response> {
        let request = self.agent.post(self.url(path)).header("Content-Type", "application/json");
        self.read_response(request.send(body))
    }

    /// Sends a request to a service, with additional headers.
    pub fn request(
        &self,
        service: &str,
        body: &[u8],
        headers: &[(&str, String)],
    ) -> error::Result<Response> {
        let mut request = self.agent.post(self.url(&format!("/v1/requests/{service}")));
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        self.read_response(request.send(body))
    }

    /// Sends a `PUT` request with a JSON body.
    pub fn put(&self, path: &str, body: &[u8]) -> error::Result<Response> {
        let request = self.agent.put(self.url(path)).header("Content-Type", "application/json");
        self.read_response(request.send(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn read_response(
        &self,
        result: Result<ureq::http::Response<ureq::Body>, ureq::Error>,
    ) -> error::Result<Response> {
        const MAX_BODY: u64 = 256 << 20;
        let context = || error::Error::new("call", &self.address);
        let mut response = result.change_context_lazy(context)?;
        let status = response.status().as_u16();
        let body = response.body_mut().with_config().limit(MAX_BODY).read_to_string();
        Ok(Response { status, body: body.change_context_lazy(context)? })
    }
}
