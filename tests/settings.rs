//! Tests of settings files: error messages, and the committed schemas and tables.

use std::{fs, path};

use jayhollow::{
    cli::config_commands::{self, SettingsRole},
    settings,
};
use rstest::rstest;

fn gateway_settings(change: impl Fn(&mut serde_json::Value)) -> String {
    let mut value = serde_json::json!({
        "instance": {"id": "gateway-1", "domain": "hall-lozenets"},
        "store": {"url": "http://127.0.0.1:7070"},
        "link": {"listen": "127.0.0.1:7071", "secret_file": "secret"},
        "callers": {"listen": "127.0.0.1:8080"},
    });
    change(&mut value);
    value.to_string()
}

fn parse_error(text: &str) -> String {
    let parsed = settings::parse::<settings::gateway::GatewaySettings>("g.json", text);
    parsed.expect_err("the settings are refused").to_string()
}

#[test]
fn a_minimal_file_is_accepted() {
    let text = gateway_settings(|_| {});
    let parsed = settings::parse::<settings::gateway::GatewaySettings>("g.json", &text);
    assert_eq!(
        parsed
            .expect("the settings are accepted")
            .online
            .max_attempts,
        4
    );
}

#[rstest]
#[case::unknown_key("callers", "wrokers", serde_json::json!(3), "unknown field `wrokers`")]
#[case::wrong_type("callers", "workers", serde_json::json!("two"), "invalid type")]
#[case::out_of_range("callers", "workers", serde_json::json!(0), "allowed are 1 to 64")]
#[case::bad_name("instance", "id", serde_json::json!("a b"), "letters, digits")]
#[case::bad_address("store", "url", serde_json::json!("ftp://x"), "http://")]
fn errors_name_file_key_and_allowed_values(
    #[case] group: &str,
    #[case] key: &str,
    #[case] value: serde_json::Value,
    #[case] allowed: &str,
) {
    let message = parse_error(&gateway_settings(|settings| {
        settings[group][key] = value.clone()
    }));
    for part in ["g.json", group, key, allowed] {
        assert!(message.contains(part), "'{part}' in: {message}");
    }
}

#[rstest]
#[case(SettingsRole::Gateway, "gateway")]
#[case(SettingsRole::Dispatcher, "dispatcher")]
#[case(SettingsRole::Standin, "standin")]
#[case(SettingsRole::Client, "client")]
#[case(SettingsRole::Bundle, "bundle")]
fn committed_schema_and_table_are_up_to_date(#[case] role: SettingsRole, #[case] name: &str) {
    let docs = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("docs");
    let schema = fs::read_to_string(docs.join(format!("schema/{name}.json")));
    let schema = schema.expect("the schema is committed");
    assert_eq!(schema.trim(), config_commands::schema(role).trim());
    let page = fs::read_to_string(docs.join("settings.md")).expect("the page is committed");
    assert!(
        page.contains(&config_commands::table(role)),
        "the table of {name} is out of date"
    );
}
