//! HTTP listener for operators: readiness, metrics, state dump and the resource API.

use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use actix_http::body::BoxBody;
use actix_http::header::AUTHORIZATION;
use actix_http::{HttpMessage, Method, Request, Response, StatusCode};
use futures_util::future::LocalBoxFuture;

use crate::admin::resource_api::ResourceApi;
use crate::admin::{ApiError, ApiPath, ChangeHeaders, change_event};
use crate::config::ConfigHandle;
use crate::crashes::SuspectsHandle;
use crate::http::{
    ConnectionLimits, HttpServer, HttpTimeouts, ServerConnections, json_response, read_body,
    text_response,
};
use crate::ids::{Revision, ZoneId};
use crate::resource::KeyHash;
use crate::units::ByteSize;

/// Maximum size of a request body.
const MAX_BODY: ByteSize = ByteSize::from_kib(128);

type ApiResult = Result<Response<BoxBody>, ApiError>;

/// What the admin listener reads from the daemon.
pub struct AdminSources {
    /// Local address to listen on; port 0 selects a free port.
    pub address: SocketAddr,
    /// Hash of the bearer token that operators send.
    pub token_hash: KeyHash,
    /// Configuration that the resource API reads and changes.
    pub config: ConfigHandle,
    /// Returns the availability zones that exist, in service or not.
    pub zones: Rc<dyn Fn() -> BTreeSet<ZoneId>>,
    /// The requests that are suspected of ending instances.
    pub suspects: SuspectsHandle,
    /// Whether the daemon accepts requests from callers; decides the status of `/readyz`.
    pub is_ready: Rc<dyn Fn() -> bool>,
    /// Returns the daemon's state as JSON, for `/dump`.
    pub dump: Rc<dyn Fn() -> serde_json::Value>,
    /// Returns the metrics in the Prometheus text format, for `/metrics`.
    pub metrics: Rc<dyn Fn() -> String>,
}

/// A running admin listener. Dropping it stops accepting connections.
pub struct AdminServer {
    server: HttpServer,
}

struct AdminState {
    sources: AdminSources,
    api: ResourceApi,
}

impl AdminServer {
    /// Binds `sources.address` and starts serving requests.
    ///
    /// # Errors
    /// The I/O error when the address cannot be bound.
    pub async fn bind(sources: AdminSources) -> io::Result<Self> {
        let limits = ConnectionLimits::control(None);
        Self::bind_limited(sources, ServerConnections::open("admin", limits)).await
    }

    /// As `bind`, on `connections`.
    ///
    /// # Errors
    /// As `bind`.
    pub async fn bind_limited(
        sources: AdminSources,
        connections: ServerConnections,
    ) -> io::Result<Self> {
        let address = sources.address;
        let api = ResourceApi::open(sources.config.clone(), Rc::clone(&sources.zones));
        let state = Rc::new(AdminState { sources, api });
        let handler = move |request| -> LocalBoxFuture<'static, Response<BoxBody>> {
            let state = Rc::clone(&state);
            Box::pin(async move { state.handle(request).await })
        };
        let timeouts = HttpTimeouts::default();
        let server =
            HttpServer::bind_limited(address, Rc::new(handler), timeouts, connections).await?;
        Ok(Self { server })
    }

    /// Local address that the listener is bound to.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

impl AdminState {
    async fn handle(&self, request: Request) -> Response<BoxBody> {
        match self.route(request).await {
            Ok(response) => response,
            Err(error) => error.response(),
        }
    }

    async fn route(&self, request: Request) -> ApiResult {
        let path = request.path().to_owned();
        match path.as_str() {
            "/readyz" => Ok(self.readiness()),
            "/metrics" => Ok(text_response(
                StatusCode::OK,
                (self.sources.metrics)().trim_end(),
            )),
            _ => {
                self.check_token(&request)?;
                self.route_authorized(request, &path).await
            }
        }
    }

    fn readiness(&self) -> Response<BoxBody> {
        if (self.sources.is_ready)() {
            text_response(StatusCode::OK, "ready")
        } else {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
    }

    fn check_token(&self, request: &Request) -> Result<(), ApiError> {
        let token = request
            .headers()
            .get(AUTHORIZATION)
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix("Bearer "))
            .ok_or(ApiError::InvalidToken)?;
        if KeyHash::hash_secret(token.trim()) == self.sources.token_hash {
            Ok(())
        } else {
            Err(ApiError::InvalidToken)
        }
    }

    async fn route_authorized(&self, request: Request, path: &str) -> ApiResult {
        if path == "/dump" {
            return Ok(json_response(StatusCode::OK, &(self.sources.dump)()));
        }
        let path_after_version = path
            .strip_prefix("/v1/")
            .ok_or_else(|| ApiError::UnknownPath(path.to_owned()))?;
        match ApiPath::parse(path_after_version)? {
            ApiPath::Collection(kind) => match *request.method() {
                Method::GET => {
                    let after = query_parameter(&request, "after");
                    self.api.list(kind, after.as_deref()).await
                }
                Method::POST => {
                    let (headers, body) = read_change(request).await?;
                    self.api.create(kind, headers, &body).await
                }
                _ => Err(method_not_allowed(&request, "GET or POST")),
            },
            ApiPath::Resource(name) => match *request.method() {
                Method::GET => self.api.get(&name).await,
                Method::PUT => {
                    let (headers, body) = read_change(request).await?;
                    self.api.put(name, headers, &body).await
                }
                Method::DELETE => {
                    let (headers, _) = read_change(request).await?;
                    self.api.delete(name, headers).await
                }
                _ => Err(method_not_allowed(&request, "GET, PUT or DELETE")),
            },
            ApiPath::Withdraw(name) => match *request.method() {
                Method::POST => {
                    let (headers, _) = read_change(request).await?;
                    self.api.withdraw(name, headers).await
                }
                _ => Err(method_not_allowed(&request, "POST")),
            },
            ApiPath::Operation(operation) => match *request.method() {
                Method::GET => self.api.operation(&operation).await,
                _ => Err(method_not_allowed(&request, "GET")),
            },
            ApiPath::Suspects => match *request.method() {
                Method::GET => {
                    let suspects = self.sources.suspects.suspects();
                    Ok(json_response(StatusCode::OK, &suspects))
                }
                _ => Err(method_not_allowed(&request, "GET")),
            },
            ApiPath::Suspect(digest) => match *request.method() {
                Method::DELETE if self.sources.suspects.clear(digest) => {
                    let suspects = self.sources.suspects.suspects();
                    Ok(json_response(StatusCode::OK, &suspects))
                }
                Method::DELETE => Err(ApiError::NotFound(format!("suspect/{digest}"))),
                _ => Err(method_not_allowed(&request, "DELETE")),
            },
            ApiPath::Watch => match *request.method() {
                Method::GET => {
                    let from = query_parameter(&request, "from").map(parse_revision);
                    change_event::watch(&self.sources.config, from.transpose()?).await
                }
                _ => Err(method_not_allowed(&request, "GET")),
            },
        }
    }
}

async fn read_change(mut request: Request) -> Result<(ChangeHeaders, bytes::Bytes), ApiError> {
    let wait = query_parameter(&request, "wait");
    let headers = ChangeHeaders::parse(request.headers(), wait)?;
    let body = read_body(&mut request.take_payload(), MAX_BODY).await?;
    Ok((headers, body))
}

fn parse_revision(text: String) -> Result<Revision, ApiError> {
    text.parse().map_err(|_| {
        let remedy = "use a revision, a number";
        ApiError::InvalidParameter("from".to_owned(), text, remedy)
    })
}

fn method_not_allowed(request: &Request, allowed: &'static str) -> ApiError {
    ApiError::MethodNotAllowed(request.method().to_string(), allowed)
}

fn query_parameter(request: &Request, name: &str) -> Option<String> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(found, _)| *found == name)
        .map(|(_, value)| value.to_owned())
}
