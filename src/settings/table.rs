//! Table of settings for `docs/settings.md`, generated from their JSON schema.

/// Table row that describes one key of the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingRow {
    /// Path of the key, with its parent keys, separated by dots.
    pub key: String,
    /// Type of the value, or its allowed values.
    pub kind: String,
    /// Default value, `required` or `none`.
    pub default: String,
    /// First line of the key's description.
    pub meaning: String,
}

/// Lists all keys of a schema, in the order of the schema.
pub fn rows(schema: &serde_json::Value) -> Vec<SettingRow> {
    let mut rows = Vec::new();
    walk(schema, schema, "", None, &mut rows);
    rows
}

/// Formats the keys of a schema as a Markdown table.
pub fn markdown(schema: &serde_json::Value) -> String {
    let mut text = String::from("| key | type | default | meaning |\n| --- | --- | --- | --- |\n");
    for row in rows(schema) {
        let line = format!(
            "| `{}` | {} | {} | {} |\n",
            row.key, row.kind, row.default, row.meaning
        );
        text.push_str(&line);
    }
    text
}

fn resolve<'a>(root: &'a serde_json::Value, node: &'a serde_json::Value) -> &'a serde_json::Value {
    let reference = node["$ref"]
        .as_str()
        .and_then(|r| r.strip_prefix("#/$defs/"));
    if let Some(name) = reference {
        return &root["$defs"][name];
    }
    // An optional value has a schema of two choices: the value's own and null.
    let choices = node["anyOf"].as_array().into_iter().flatten();
    let mut values = choices.filter(|c| c["type"] != "null");
    match values.next() {
        Some(choice) => resolve(root, choice),
        None => node,
    }
}

fn walk(
    root: &serde_json::Value,
    node: &serde_json::Value,
    prefix: &str,
    defaults: Option<&serde_json::Value>,
    rows: &mut Vec<SettingRow>,
) {
    let node = resolve(root, node);
    for variant in node["oneOf"].as_array().into_iter().flatten() {
        walk(root, variant, prefix, defaults, rows);
    }
    let required = node["required"].as_array();
    for (name, property) in node["properties"].as_object().into_iter().flatten() {
        let key = match prefix {
            "" => name.clone(),
            _ => format!("{prefix}.{name}"),
        };
        let inherited = defaults.and_then(|d| d.get(name));
        let default = property.get("default").or(inherited);
        let target = resolve(root, property);
        if target["properties"].is_object() {
            walk(root, target, &key, default, rows);
            continue;
        }
        let is_required = required.is_some_and(|r| r.iter().any(|n| n == name));
        let text = |value: &serde_json::Value| value["description"].as_str().map(first_line);
        rows.push(SettingRow {
            key,
            kind: kind_of(target),
            default: match default {
                Some(default) => format!("`{default}`"),
                None if is_required => "required".into(),
                None => "none".into(),
            },
            meaning: text(property).or_else(|| text(target)).unwrap_or_default(),
        });
    }
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}

fn kind_of(node: &serde_json::Value) -> String {
    if let Some(choices) = node["oneOf"].as_array() {
        let names = choices.iter().filter_map(|c| c["const"].as_str());
        return names.collect::<Vec<_>>().join(", ");
    }
    match &node["type"] {
        serde_json::Value::String(kind) => kind.clone(),
        serde_json::Value::Array(kinds) => {
            let kinds = kinds
                .iter()
                .filter_map(|k| k.as_str())
                .filter(|k| *k != "null");
            kinds.collect::<Vec<_>>().join(", ")
        }
        _ => node["const"].as_str().unwrap_or("any").to_owned(),
    }
}
