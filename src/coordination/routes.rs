//! Routes HTTP requests of callers and operators to their handlers.

use {
    crate::{
        coordination::{
            admin, auth, body, entrypoints, gateway::Gateway, problem, requests, ticketed_requests,
        },
        state::claims::refusal::{Reason, Refusal},
        transport::{
            head::Head,
            server::{Fault, Handler},
        },
    },
    rouille::{Request, Response, router},
    std::sync::Arc,
};

/// The HTTP handler of one host.
#[derive(Debug)]
pub struct Routes(pub Arc<Gateway>);

impl Handler for Routes {
    fn handle(&self, request: &Request) -> Response {
        let gateway = &self.0;

        if request.url().starts_with("/v1/admin/") {
            return match auth::operator(gateway, request) {
                Ok(()) => admin::respond(gateway, request),
                Err(response) => response,
            };
        }

        router!(request,
            (GET) ["/v1/entrypoints"] => {
                let domain = request.get_param("domain").map(Into::into);
                let caller = request
                    .get_param("caller")
                    .unwrap_or_else(|| request.remote_addr().ip().to_string());
                let view = gateway.published.get();
                body::json(&entrypoints::rank(&view, domain.as_ref(), &caller))
            },
            (POST) ["/v1/tickets"] => { ticketed_requests::issue(gateway, request) },
            (POST) ["/v1/pipelines/{name}/requests", name: String] => {
                requests::post(gateway, request, &name)
            },
            (GET) ["/v1/requests/{id}", id: String] => {
                requests::get(gateway, request, &id.into())
            },
            _ => {
                let detail = format!("{} {} does not exist", request.method(), request.url());
                let refusal = Refusal::not_run(Reason::Missing, detail);
                problem::respond(gateway, None, &refusal)
            },
        )
    }

    fn refuse(&self, fault: &Fault, head: Option<&Head>) -> Response {
        problem::fault(&self.0, fault, head)
    }
}
