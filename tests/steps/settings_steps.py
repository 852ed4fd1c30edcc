"""Steps for the settings of an entry host."""

from behave import given, then, when

from hornbeamdeal.settings import ENTRY_SETTINGS, load_entry_settings

COMPLETE_SETTINGS = {
    "host_id": "aqp-cercado-entry-1",
    "zone": "aqp-cercado",
    "fabric": "127.0.0.2:6000",
    "fabric_listen": "127.0.0.10:6000",
    "server_listen": "127.0.0.10:6001",
    "peer_listen": "127.0.0.10:6002",
    "admin_listen": "127.0.0.10:6003",
    "platform": "127.0.0.3:6003",
    "peer_keys": "1:" + "ab" * 16,
}


@given("complete entry settings")
def given_complete(context):
    context.flags = dict(COMPLETE_SETTINGS)
    context.environment_variables = {}


@given("no entry settings")
def given_none(context):
    context.flags = {}
    context.environment_variables = {}


@given('the variable {name} is "{value}"')
def given_variable(context, name, value):
    context.environment_variables[name] = value


@given('the setting {name} is "{value}"')
def given_setting(context, name, value):
    context.flags[name] = value


@when("the settings are loaded")
def when_loaded(context):
    context.loaded = load_entry_settings(context.flags, context.environment_variables)


@then("the settings are accepted")
def then_accepted(context):
    assert context.loaded.is_ok(), context.loaded
    assert context.loaded.ok_value.linger.total_seconds() == 15


@then('the zone setting is "{zone}"')
def then_zone(context, zone):
    assert context.loaded.ok_value.zone == zone


@then('the settings are refused for {name} with "{text}"')
def then_refused(context, name, text):
    (error,) = context.loaded.err_value
    assert error.name == name
    assert text in str(error), error
    assert "--" + name.replace("_", "-") in str(error)


@then("each required setting is reported as missing")
def then_all_missing(context):
    reported = {error.name for error in context.loaded.err_value}
    assert reported == {s.name for s in ENTRY_SETTINGS if s.default is None}
