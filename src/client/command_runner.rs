//! Executes client commands and formats their output.

use awc::http::Method;
use serde::Serialize;
use serde_json::{Value, json};

use crate::admin::{
    ApiPath, ChangeAction, ChangeBody, ChangeEvent, ResourceBody, generate_operation_id,
};
use crate::client::api_client::resource_path;
use crate::client::command_line::{
    CheckCommand, CreateCommand, DeleteCommand, IssueCommand, KeyAction, SuspectAction,
    UpdateCommand, ZoneAction,
};
use crate::client::{
    ApiClient, ChangeWatcher, ClientChange, ClientCommand, ClientError, CommandLine, TextTable,
    merge_fields,
};
use crate::config::PropagationReport;
use crate::crashes::SuspectRecord;
use crate::ids::{OperationId, Version};
use crate::resource::{KeyHash, ResourceKind, ResourceName};
use crate::settings::DaemonSettings;

const NO_SECRET: &str =
    "the secret was in a response that was lost; withdraw the key and issue another";
const TOKEN_VARIABLE: &str = "WAGTAILTRACK_TOKEN";

/// Executes the command of `line` and passes its output to `print`.
///
/// # Errors
/// Returns the `ClientError` that ended the command.
pub async fn run(line: &CommandLine, print: &mut dyn FnMut(&str)) -> Result<(), ClientError> {
    if let ClientCommand::CheckConfig(check) = &line.command {
        print(&check_config(line, check)?);
        return Ok(());
    }
    let token = read_token(line)?;
    if let ClientCommand::HashToken(_) = line.command {
        print(&KeyHash::hash_secret(&token).to_string());
        return Ok(());
    }
    let client = ApiClient::open(line.daemon, token);
    let runner = CommandRunner { line, client };
    if let ClientCommand::Watch(watch) = &line.command {
        let watcher = ChangeWatcher::open(&runner.client, watch.from);
        return watcher
            .run(&mut |change| print(&runner.format_change_line(change)))
            .await;
    }
    print(&runner.run().await?);
    Ok(())
}

fn check_config(line: &CommandLine, check: &CheckCommand) -> Result<String, ClientError> {
    DaemonSettings::open(&check.file)?;
    let file = check.file.display().to_string();
    Ok(if line.json {
        format_json(&json!({ "file": file, "valid": true }))
    } else {
        format!("{file} is valid")
    })
}

struct CommandRunner<'a> {
    line: &'a CommandLine,
    client: ApiClient,
}

impl CommandRunner<'_> {
    async fn run(&self) -> Result<String, ClientError> {
        match &self.line.command {
            ClientCommand::Create(command) => self.create(command).await,
            ClientCommand::Get(command) => {
                let name = resource_name(command.kind, &command.id);
                let body = self.client.resource(&name).await?;
                Ok(self.format_resources(&body, std::slice::from_ref(&body)))
            }
            ClientCommand::List(command) => {
                let items = self.client.resources(command.kind).await?;
                Ok(self.format_resources(&items, &items))
            }
            ClientCommand::Update(command) => self.update(command).await,
            ClientCommand::Delete(command) => self.delete(command).await,
            ClientCommand::Key(command) => match &command.action {
                KeyAction::Issue(command) => self.issue(command).await,
                KeyAction::Withdraw(command) => {
                    let name = resource_name(ResourceKind::Key, command.id.as_str());
                    let path = format!("{}/withdraw", resource_path(&name));
                    let change = self.new_change(Method::POST, path)?;
                    self.send(change, &format!("{name} withdrawn")).await
                }
            },
            ClientCommand::Zone(command) => match &command.action {
                ZoneAction::Evacuate(command) => {
                    let path = ApiPath::collection_path(ResourceKind::Evacuation);
                    let mut change = self.new_change(Method::POST, path)?;
                    change.body = Some(json!({ "id": command.zone }));
                    let summary = format!("zone {} taken out of service", command.zone);
                    self.send(change, &summary).await
                }
                ZoneAction::Restore(command) => {
                    let name = resource_name(ResourceKind::Evacuation, &command.zone);
                    let mut change = self.new_change(Method::DELETE, resource_path(&name))?;
                    change.version = Some(self.current_version(&name).await?);
                    let summary = format!("zone {} put back into service", command.zone);
                    self.send(change, &summary).await
                }
                ZoneAction::List(_) => {
                    let items = self.client.resources(ResourceKind::Evacuation).await?;
                    Ok(self.format_resources(&items, &items))
                }
            },
            ClientCommand::Suspect(command) => match &command.action {
                SuspectAction::List(_) => {
                    let suspects = self.client.get("/v1/suspects").await?;
                    Ok(self.format_suspects(suspects))
                }
                SuspectAction::Clear(command) => {
                    let path = format!("/v1/suspects/{}", command.digest);
                    let suspects: Vec<SuspectRecord> = self.client.delete(&path).await?;
                    Ok(match self.line.json {
                        true => format_json(&suspects),
                        false => format!("suspect/{} cleared", command.digest),
                    })
                }
            },
            ClientCommand::Dump(_) => {
                let dump: Value = self.client.get("/dump").await?;
                Ok(format_json(&dump))
            }
            ClientCommand::Operation(command) => {
                let path = format!("/v1/operations/{}", command.id);
                let body: ChangeBody = self.client.get(&path).await?;
                Ok(self.format_change(&body, "accepted"))
            }
            // The caller handles these commands.
            ClientCommand::Watch(_)
            | ClientCommand::CheckConfig(_)
            | ClientCommand::HashToken(_) => Ok(String::new()),
        }
    }

    async fn create(&self, command: &CreateCommand) -> Result<String, ClientError> {
        if command.kind == ResourceKind::Key {
            return Err(ClientError::UnsupportedCommand(
                "keys are issued with 'wagtailtrack key issue ID --account ACCOUNT'",
            ));
        }
        let mut resource = json!({ id_field(command.kind): command.id });
        merge_fields(&mut resource, &command.fields)?;
        let mut change = self.new_change(Method::POST, ApiPath::collection_path(command.kind))?;
        change.body = Some(resource);
        let summary = format!("{} created", resource_name(command.kind, &command.id));
        self.send(change, &summary).await
    }

    async fn update(&self, command: &UpdateCommand) -> Result<String, ClientError> {
        let name = resource_name(command.kind, &command.id);
        let current = self.client.resource(&name).await?;
        let mut resource = current.resource;
        merge_fields(&mut resource, &command.fields)?;
        let mut change = self.new_change(Method::PUT, resource_path(&name))?;
        change.version = Some(command.version.unwrap_or(current.version));
        change.body = Some(resource);
        self.send(change, &format!("{name} updated")).await
    }

    async fn delete(&self, command: &DeleteCommand) -> Result<String, ClientError> {
        let name = resource_name(command.kind, &command.id);
        let mut change = self.new_change(Method::DELETE, resource_path(&name))?;
        change.version = Some(match command.version {
            Some(version) => version,
            None => self.current_version(&name).await?,
        });
        self.send(change, &format!("{name} deleted")).await
    }

    async fn issue(&self, command: &IssueCommand) -> Result<String, ClientError> {
        let mut change =
            self.new_change(Method::POST, ApiPath::collection_path(ResourceKind::Key))?;
        change.body = Some(json!({ "id": command.id, "account": command.account }));
        self.send(change, &format!("key/{} issued", command.id))
            .await
    }

    async fn current_version(&self, name: &ResourceName) -> Result<Version, ClientError> {
        Ok(self.client.resource(name).await?.version)
    }

    fn new_change(&self, method: Method, path: String) -> Result<ClientChange, ClientError> {
        Ok(ClientChange {
            method,
            path,
            version: None,
            body: None,
            operation: self.operation_id()?,
            wait: self.line.wait,
        })
    }

    fn operation_id(&self) -> Result<OperationId, ClientError> {
        match &self.line.operation {
            Some(operation) => Ok(operation.clone()),
            None => Ok(generate_operation_id()?),
        }
    }

    async fn send(&self, change: ClientChange, summary: &str) -> Result<String, ClientError> {
        let body = self.client.change(&change).await?;
        Ok(self.format_change(&body, summary))
    }

    fn format_change(&self, body: &ChangeBody, summary: &str) -> String {
        if self.line.json {
            return format_json(body);
        }
        let repeated = if body.repeated { " (before)" } else { "" };
        let mut lines = vec![format!("{summary}{repeated} at revision {}", body.revision)];
        if let Some(secret) = &body.secret {
            lines.push(format!("secret, shown this once: {secret}"));
        } else if body.repeated && self.issues_key() {
            lines.push(NO_SECRET.to_owned());
        }
        lines.extend(body.in_force.as_ref().map(format_propagation));
        lines.join("\n")
    }

    const fn issues_key(&self) -> bool {
        let ClientCommand::Key(command) = &self.line.command else {
            return false;
        };
        matches!(command.action, KeyAction::Issue(_))
    }

    fn format_change_line(&self, change: &ChangeEvent) -> String {
        if self.line.json {
            return serde_json::to_string(change).unwrap_or_default();
        }
        let verb = match change.action {
            ChangeAction::Put => "put",
            ChangeAction::Delete => "delete",
        };
        format!(
            "{}  {verb}  {}  {}",
            change.revision, change.kind, change.resource
        )
    }

    fn format_suspects(&self, suspects: Vec<SuspectRecord>) -> String {
        if self.line.json {
            return format_json(&suspects);
        }
        if suspects.is_empty() {
            return "none".to_owned();
        }
        let lines = suspects.into_iter().map(|suspect| {
            let state = if suspect.refused {
                "refused"
            } else {
                "suspected"
            };
            format!(
                "{}  {state}  {} instances ended",
                suspect.digest, suspect.ends
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn format_resources<T: Serialize>(&self, value: &T, items: &[ResourceBody]) -> String {
        if self.line.json {
            return format_json(value);
        }
        if items.is_empty() {
            return "none".to_owned();
        }
        let rows = items.iter().map(|item| (item.version.0, &item.resource));
        TextTable::from_resources(rows)
            .to_string()
            .trim_end()
            .to_owned()
    }
}

fn resource_name(kind: ResourceKind, id: &str) -> ResourceName {
    ResourceName {
        kind,
        id: id.to_owned(),
    }
}

const fn id_field(kind: ResourceKind) -> &'static str {
    match kind {
        ResourceKind::Rate => "account",
        _ => "id",
    }
}

fn format_propagation(in_force: &PropagationReport) -> String {
    let confirmed = in_force.confirmed;
    if in_force.unconfirmed.is_empty() {
        return format!("in force on all {confirmed} live daemons");
    }
    let names: Vec<String> = in_force
        .unconfirmed
        .iter()
        .map(ToString::to_string)
        .collect();
    format!(
        "in force on {confirmed} daemons; not confirmed by {}",
        names.join(", ")
    )
}

fn format_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_default()
}

fn read_token(line: &CommandLine) -> Result<String, ClientError> {
    let text = match &line.token_file {
        Some(path) => std::fs::read_to_string(path)
            .map_err(|cause| ClientError::TokenFile(path.clone(), cause))?,
        None => std::env::var(TOKEN_VARIABLE).map_err(|_| ClientError::NoToken)?,
    };
    match text.trim() {
        "" => Err(ClientError::NoToken),
        token => Ok(token.to_owned()),
    }
}
