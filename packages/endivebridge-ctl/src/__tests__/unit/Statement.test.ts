import test from "ava";
import { commandFault, editConfiguration, parseStatement } from "../../index";

const good = [
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

const wrong = [
    "",
    "show",
    "show cats",
    "drain kootenay",
    "drain region kootenay at many% per minute",
    "explain lookup x y"
];

test("statements are read into typed values", t => {
    t.snapshot(good.map(line => parseStatement(line).unsafeCoerce()));
});

test("a wrong statement is told with its place and what was expected", t => {
    t.snapshot(wrong.map(line => String(parseStatement(line).extract())));
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

test("commands change the configuration and leave comments alone", t => {
    const capped = editConfiguration(text, {
        kind: "cap",
        service: "circulation",
        region: "fraser",
        requestsPerSecond: 40
    }, 0);
    const drained = editConfiguration(capped, { kind: "drain", region: "kootenay", sharePerMinute: 0.05 }, 1_000);
    t.snapshot(drained);
    t.snapshot(editConfiguration(drained, { kind: "stopDrain", region: "kootenay" }, 0));
});

test("a command that does not fit the configuration says why", t => {
    t.snapshot([
        commandFault(text, { kind: "drain", region: "nowhere", sharePerMinute: 1 }),
        commandFault(text, { kind: "cap", service: "none", region: "fraser", requestsPerSecond: 1 }),
        commandFault(text, { kind: "stopDrain", region: "fraser" }),
        commandFault(text, { kind: "drain", region: "fraser", sharePerMinute: 1 })
    ]);
});
