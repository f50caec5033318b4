//! Golden tests of the control socket: the bytes of all requests and responses, and the text and JSON that
//! commands print.

use serde::de::DeserializeOwned;
use serde_json::Value;

use linnethook_gateway::gateway::{GatewayStatusView, RouteView};
use linnethook_hierarchy::change_spec::{BatchSpec, NodeSpec, PlanSpec};
use serde::Serialize;

use super::fleet_text::fleet_text;
use super::gateway_text::{routes_text, status_text};
use super::hierarchy_text::{batch_text, hierarchy_text, nodes_text, plan_text};
use super::output::json_text;
use crate::control::{ControlRequest, ControlResponse, FleetView, HierarchyView, SiteDetail};
use crate::golden::assert_golden;
use crate::hex::hex;

/// The values of requests and responses, under names that only the tests use.
fn values() -> Value {
    serde_json::from_str(include_str!("../golden/control_values.json")).expect("JSON")
}

fn value<T: DeserializeOwned>(name: &str) -> T {
    read(values()[name].clone())
}

fn read<T: DeserializeOwned>(value: Value) -> T {
    serde_json::from_value(value).expect("a value of its type")
}

fn list<T: DeserializeOwned>(name: &str) -> Vec<T> {
    value(name)
}

/// The fleet view, with some of its values changed.
fn fleet(change: impl FnOnce(&mut Value)) -> FleetView {
    let mut fleet = values()["fleet"].clone();
    change(&mut fleet);
    read(fleet)
}

/// Fleet views with every member state, participation and straggler state, and with each optional value
/// missing.
fn fleets() -> Vec<FleetView> {
    let all = values();
    let listed = |name: &str| all[name].as_array().expect("a list").clone();
    let mut fleets = Vec::new();
    for member_state in listed("standings") {
        let mut router = all["router"].clone();
        router["standing"] = member_state;
        fleets.push(fleet(|fleet| fleet["fellows"]["others"] = Value::Array(vec![router])));
    }
    fleets.extend(listed("parts").into_iter().map(|part| fleet(|fleet| fleet["fellows"]["part"] = part)));
    fleets.extend(listed("states").into_iter().map(|state| fleet(|fleet| fleet["state"] = state)));
    for name in ["whole", "set_by", "account"] {
        fleets.push(fleet(|fleet| fleet[name] = Value::Null));
    }
    fleets.push(fleet(|fleet| fleet["fellows"]["place"] = Value::Null));
    fleets
}

fn postcard_line<T: Serialize>(name: &str, value: &T) -> String {
    format!("{name}: {}\n", hex(&postcard::to_stdvec(value).expect("encoded")))
}

#[test]
fn requests_and_responses_have_the_golden_bytes() {
    let mut out = String::new();
    let requests = [
        ("show", ControlRequest::ShowHierarchy),
        ("nodes", ControlRequest::ListNodes),
        ("plan", ControlRequest::PlanChanges(value::<BatchSpec>("batch").changes)),
        ("apply", ControlRequest::ApplyChanges(value::<BatchSpec>("batch").changes)),
        ("hear", ControlRequest::ReceiveBatch(value("batch"))),
        ("roll back", ControlRequest::RollBack { author: 40000, number: 300 }),
        ("gateway", ControlRequest::GatewayStatus),
        ("routes", ControlRequest::GatewayRoutes),
        ("drain", ControlRequest::DrainSite { site: "south".to_string(), drained: true }),
        ("undrain", ControlRequest::DrainSite { site: "south".to_string(), drained: false }),
        ("fleet", ControlRequest::ShowFleet),
        ("ask router", ControlRequest::StartQuery(list("targets").remove(0))),
        ("ask site", ControlRequest::StartQuery(list("targets").remove(1))),
        ("answered", ControlRequest::FetchQueryResult(77)),
        ("floor", ControlRequest::SetFloor(5)),
        ("accounts", ControlRequest::ListAuditRecords),
    ];
    for (name, request) in &requests {
        out += &postcard_line(&format!("question {name}"), request);
    }
    let detail = SiteDetail { location: "eu/south".to_string(), routers: vec![value("router")] };
    let mut responses = vec![
        ("shown", ControlResponse::Hierarchy(value("shown"))),
        ("nodes", ControlResponse::Nodes(value("nodes"))),
        ("plan", ControlResponse::Plan(value("plan"))),
        ("applied", ControlResponse::Applied(value("batch"))),
        ("gateway", ControlResponse::GatewayStatus(value("status"))),
        ("routes", ControlResponse::GatewayRoutes(value("routes"))),
        ("asking", ControlResponse::QueryStarted(77)),
        ("detail", ControlResponse::QueryResult(Some(detail))),
        ("no detail yet", ControlResponse::QueryResult(None)),
        ("accounts", ControlResponse::AuditRecords(value("records"))),
        ("done", ControlResponse::Done("done".to_string())),
        ("no", ControlResponse::Refused("no".to_string())),
    ];
    responses.extend(fleets().into_iter().map(|view| ("fleet", ControlResponse::Fleet(Box::new(view)))));
    for (name, response) in &responses {
        out += &postcard_line(&format!("answer {name}"), response);
    }
    assert_golden("control_bytes.txt", &out);
    // Decoding the golden bytes and encoding the result gives the same bytes.
    for line in out.lines() {
        let (name, digits) = line.split_once(": ").expect("a name");
        let digits = digits.as_bytes().chunks(2).map(|pair| std::str::from_utf8(pair).expect("text"));
        let bytes: Vec<u8> = digits.map(|pair| u8::from_str_radix(pair, 16).expect("a byte")).collect();
        let encoded = match name.starts_with("question ") {
            true => postcard::to_stdvec(&postcard::from_bytes::<ControlRequest>(&bytes).expect("a request")),
            false => {
                postcard::to_stdvec(&postcard::from_bytes::<ControlResponse>(&bytes).expect("a response"))
            }
        };
        assert_eq!(encoded.expect("encoded"), bytes, "{name}");
    }
}

#[test]
fn commands_print_the_golden_json() {
    let mut out = String::new();
    out += &json_text(&value::<HierarchyView>("shown"));
    out += &json_text(&value::<Vec<NodeSpec>>("nodes"));
    out += &json_text(&value::<PlanSpec>("plan"));
    out += &json_text(&value::<BatchSpec>("batch"));
    out += &json_text(&value::<GatewayStatusView>("status"));
    out += &json_text(&value::<Vec<RouteView>>("routes"));
    let detail = SiteDetail { location: "eu/south".to_string(), routers: vec![value("router")] };
    let lines: Vec<_> = detail.routers.iter().collect();
    out += &json_text(&(&detail.location, &lines));
    out += &json_text(&"done".to_string());
    fleets().iter().for_each(|view| out += &json_text(view));
    assert_golden("control_json.txt", &out);
}

#[test]
fn commands_print_the_golden_text() {
    let mut out = String::new();
    out += &hierarchy_text(&value("shown"));
    out += &nodes_text(&list::<NodeSpec>("nodes"));
    out += &plan_text(&value("plan"));
    out += &batch_text(&value("batch"), 1);
    out += &batch_text(&value("batch"), 3);
    out += &status_text(&value("status"));
    out += &routes_text(&list::<RouteView>("routes"));
    fleets().iter().for_each(|view| out += &fleet_text(view));
    assert_golden("control_text.txt", &out);
}
