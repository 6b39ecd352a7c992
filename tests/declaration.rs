//! Declaration files and the positions in their error messages.

use foxtailhill::catalog::EntityKind;
use foxtailhill::declaration::{Declaration, check, entity_from_json, entity_to_json};
use foxtailhill::error::Category;

const VALID: &str = r#"{
    // A comment with { braces } and "quotes".
    "operators": [{"name": "ada", "digest": "0000000000000000000000000000000000000000000000000000000000000001"}],
    "policy": {"key_grace_ms": 2000},
    "teams": [{"name": "desks", "rate": 900, "burst": 9000}],
    "models": [{
        "name": "drafter", "memory_bytes": 1000, "min_replicas": 1, "version": "v1", "first_token_ms": 510
    }],
    "adapters": [{"name": "palermo", "model": "drafter", "memory_bytes": 10}],
    "keys": [{"name": "desk-1", "team": "desks", "digest": "0000000000000000000000000000000000000000000000000000000000000002"}],
    "routes": [{"name": "seats", "prefix": "/seats", "target": {"service": "desk"}}],
    "backends": [
        {"name": "e1", "zone": "a", "address": "127.0.0.1:7001", "kind": {"engine":
            {"memory_bytes": 1, "accelerators": 1, "slots": 4, "checks_fencing": true}}},
        {"name": "s1", "zone": "a", "address": "127.0.0.1:7002", "kind": {"service": {"group": "desk", "slots": 4}}}
    ]
}"#;

fn error_message(text: &str) -> String {
    let checked = Declaration::parse("fleet.json", text).and_then(|parsed| parsed.check());
    checked.expect_err("the text is invalid").message().into()
}

/// Guards against a valid file that is rejected, and against entities that a conversion to JSON and back changes.
#[test]
fn valid_file_passes_check_and_round_trips_through_json() {
    let declaration = Declaration::parse("fleet.json", VALID).unwrap();
    declaration.check().unwrap();
    assert_eq!(declaration.items.len(), 9);
    for item in &declaration.items {
        let text = entity_to_json(&item.change).to_string();
        let kind = item.change.target().kind;
        assert_eq!(entity_from_json(kind, &text).unwrap(), item.change);
    }
    let service = declaration
        .items
        .iter()
        .find(|item| item.change.target().name == "s1");
    let service = service.map(|item| (item.line, item.column));
    assert_eq!(service, Some((15, 9)));
}

/// Guards against errors that are reported with a wrong position or without one.
#[test]
fn errors_carry_line_and_column() {
    let text = VALID.replace("\"rate\": 900", "\"rate\": 0");
    assert_eq!(
        error_message(&text),
        "fleet.json:5:15: team `desks`: rate is 0\n\
         fleet.json:10:14: key `desk-1`: team `desks` is not declared"
    );
    let text = VALID.replace("\"model\": \"drafter\"", "\"model\": \"other\"");
    let expected = "fleet.json:9:18: adapter `palermo`: model `other` is not declared";
    assert_eq!(error_message(&text), expected);
    let text = VALID.replace("\"name\": \"s1\"", "\"name\": \"e1\"");
    assert_eq!(
        error_message(&text),
        "fleet.json:15:9: backend `e1` is declared twice"
    );
    let text = VALID.replace("\"burst\"", "\"brust\"");
    let message = error_message(&text);
    assert!(
        message.starts_with("fleet.json:5:52: unknown field `brust`"),
        "{message}"
    );
    assert!(error_message("{\n  /* open").starts_with("fleet.json:2:"));
    assert!(error_message("{\n  \"teams\": 3}").starts_with("fleet.json:2:12: invalid type"));
    let text = "{\"keys\": [{\"name\": \"k\", \"team\": \"t\", \"digest\": \"12\"}]}";
    assert!(error_message(text).contains("digest is not 64 hexadecimal digits"));
}

/// Guards against an incomplete entity that is accepted, a kind whose name is not parsed, and a missing file that is
/// reported as a malformed one.
#[test]
fn incomplete_entities_unknown_kinds_and_missing_files_are_rejected() {
    let missing = check(std::path::Path::new("no-such-file.json")).unwrap_err();
    assert_eq!(missing.category(), Category::NotFound);
    assert!(entity_from_json(EntityKind::Team, "{\"name\": \"t\"}").is_err());
    assert_eq!(EntityKind::from_name("fleet"), None);
    for kind in EntityKind::ALL {
        assert_eq!(EntityKind::from_name(kind.as_str()), Some(kind));
    }
}
