// Guards the statement language and the edits of the configuration: a grammar change that parses a statement differently,
// an edit that drops the operators' comments, or a command that is applied to an unknown region or service.
import test from "ava";
import { editConfiguration, parseStatement, validateCommand } from "../../index";

const validLines = [
    "show instances",
    "show servers of circulation order by latency",
    "show drains where region = kootenay",
    "show servers where region = fraser and setAside = true",
    "show configuration in force",
    "show operations in doubt",
    "show struck requests",
    "explain lookup 10.1.2.3 circulation",
    "watch show services of patron",
    "drain region kootenay at 5% per minute",
    "drain region kootenay at 2.5 % per minute",
    "stop drain region kootenay",
    "cap shift of circulation into fraser to 40 requests per second",
    "uncap shift of circulation into fraser",
    "accept examples/stacklight-configuration.jsonc"
];

const invalidLines = [
    "",
    "show",
    "show cats",
    "drain kootenay",
    "drain region kootenay at many% per minute",
    "explain lookup x y"
];

test("parses valid statements into typed values", t => {
    t.snapshot(validLines.map(line => parseStatement(line).unsafeCoerce()));
});

test("reports the column and the expected input of an invalid statement", t => {
    t.snapshot(invalidLines.map(line => String(parseStatement(line).extract())));
});

const text = `{
    // caps of the valley
    "regions": {
        "fraser": { "failureDomains": ["fraser-1"] },
        "kootenay": { "failureDomains": ["kootenay-1"] }
    },
    "services": { "circulation": { "idempotentRoutes": [] } },
    "clientBlocks": []
}`;

test("applies commands to the configuration and preserves its comments", t => {
    const cappedText = editConfiguration(text, {
        kind: "cap",
        service: "circulation",
        region: "fraser",
        requestsPerSecond: 40
    }, 0);
    const drainedText = editConfiguration(
        cappedText,
        { kind: "drain", region: "kootenay", sharePerMinute: 0.05 },
        1_000
    );
    t.snapshot(drainedText);
    t.snapshot(editConfiguration(drainedText, { kind: "stopDrain", region: "kootenay" }, 0));
});

test("returns why a command cannot be applied to the configuration", t => {
    t.snapshot([
        validateCommand(text, { kind: "drain", region: "nowhere", sharePerMinute: 1 }),
        validateCommand(text, { kind: "cap", service: "none", region: "fraser", requestsPerSecond: 1 }),
        validateCommand(text, { kind: "stopDrain", region: "fraser" }),
        validateCommand(text, { kind: "drain", region: "fraser", sharePerMinute: 1 })
    ]);
});
