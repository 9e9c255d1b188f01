import { readFileSync } from "node:fs";

/**
 * Succeeds when every failed test in an AVA log is listed in KNOWN-RED.txt, and prints the failed tests. Fails when a failure
 * is not listed, when the log also has an exception, a timeout or an exit, or when its count of failed tests differs.
 */
const log = readFileSync(process.argv[2], "utf8");
const knownTitles = [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^ *test: (.+)$/gm)].map(match => match[1].trim());
const failed = [...log.matchAll(/✘ \[fail\]: (.+?)(?: \([\d.]+m?s\))?$/gm)].map(match => match[1].trim());
const reportedFailureCount = Number(/^ +(\d+) tests? failed$/m.exec(log)?.[1] ?? 0);
const unknownTitles = failed.filter(title => !knownTitles.includes(title));
const isInconclusive = failed.length === 0 || failed.length !== reportedFailureCount
    || /uncaught exception|unhandled rejection|timed out|exited/i.test(log.slice(log.indexOf("✘")));

failed.forEach(title => console.log(`${knownTitles.includes(title) ? "known red" : "failed"}: ${title}`));
process.exitCode = isInconclusive || unknownTitles.length > 0 ? 1 : 0;
