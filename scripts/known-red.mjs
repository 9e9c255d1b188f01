import { readFileSync } from "node:fs";

/**
 * Succeeds when every failed test in a log of AVA runs is listed in KNOWN-RED.txt, and prints the failed tests. Fails when a
 * failure is not listed, when the log also has an exception, a timeout, an exit or a failed hook, or when its count of failed
 * tests differs. What a test prints or how it fails has no influence.
 */
const lines = readFileSync(process.argv[2], "utf8").split("\n");
const knownTitles = [...readFileSync("KNOWN-RED.txt", "utf8").matchAll(/^ *test: (.+)$/gm)].map(match => match[1].trim());

const failureMark = "  ✘ [fail]: ";
const closingLine = /^ {2}\d+ (hooks? failed|uncaught exceptions?|unhandled rejections?|tests? remained pending.*|test files? .*)$/;
const otherFailure = /^ {2}(✘ (?!\[fail\]: )|Uncaught exception|Unhandled rejection)/;

/** Indexes of the lines that report a failure; each has the title of its test, and may go on with a message. */
const failureIndexes = lines.flatMap((line, index) => line.startsWith(failureMark) ? [index] : []);
let searchedIndex = 0;

/** The title alone stands on a line of its own among the details at the end of a run, in the order of the failures. */
function findTitle(failureIndex) {
    const text = lines[failureIndex].slice(failureMark.length);
    const isTitle = title => title !== "" && (text === title || text.startsWith(`${title} `));
    for (let index = Math.max(searchedIndex, failureIndex + 1); index < lines.length; index += 1) {
        if (/^ {2}\S/.test(lines[index]) && isTitle(lines[index].trim())) {
            searchedIndex = index + 1;
            return lines[index].trim();
        }
    }
    return undefined;
}

const failed = failureIndexes.map(findTitle);
const reportedFailureCount = lines
    .map(line => Number(/^ {2}(\d+) tests? failed$/.exec(line)?.[1] ?? 0))
    .reduce((sum, count) => sum + count, 0);
const isKnown = title => title !== undefined && knownTitles.includes(title);
const isInconclusive = failed.length === 0 || failed.length !== reportedFailureCount
    || lines.some(line => closingLine.test(line) || otherFailure.test(line));

failed.forEach((title, index) =>
    console.log(`${isKnown(title) ? "known red" : "failed"}: ${title ?? lines[failureIndexes[index]].trim()}`)
);
process.exitCode = isInconclusive || !failed.every(isKnown) ? 1 : 0;
