import { type Caller, type CallerFailure, makeCaller } from "@endivebridge/caller";
import { range } from "@endivebridge/shared";
import { buildResponseBody, callerRegionHeader, queueMillisHeader, tokenHeader } from "@endivebridge/standins";
import { Effect, Result } from "effect";
import { build, type Histogram } from "hdr-histogram-js";
import type {
    CallerProcessReply,
    CallerProcessRequest,
    LabelResult,
    LoadPlan,
    LoadResult,
    LoadStream,
    LoadWindow,
    Percentiles
} from "./LoadPlan";
import { makeRandom } from "./Random";

const windowLengthMillis = 500;
const allStreamsLabel = "all";
const microsPerMilli = 1_000;

interface LabelCounts {
    sent: number;
    answered: number;
    failed: number;
    inDoubt: number;
    readonly latency: Histogram;
    readonly wait: Histogram;
    readonly refusal: Histogram;
    readonly firstRefusal: Histogram;
    readonly refusalInside: Histogram;
    readonly windows: Map<number, { answered: number; failed: number; readonly latency: Histogram; }>;
    readonly failedByKind: Record<string, number>;
}

function makeHistogram(): Histogram {
    return build({ lowestDiscernibleValue: 1, highestTrackableValue: 120_000_000, numberOfSignificantValueDigits: 3 });
}

function makeLabelCounts(): LabelCounts {
    return {
        sent: 0,
        answered: 0,
        failed: 0,
        inDoubt: 0,
        latency: makeHistogram(),
        wait: makeHistogram(),
        refusal: makeHistogram(),
        firstRefusal: makeHistogram(),
        refusalInside: makeHistogram(),
        windows: new Map(),
        failedByKind: {}
    };
}

function recordMillis(histogram: Histogram, millis: number): void {
    histogram.recordValue(Math.max(1, Math.round(millis * microsPerMilli)));
}

function readPercentiles(histogram: Histogram): Percentiles {
    const at = (percentile: number) => histogram.getValueAtPercentile(percentile) / microsPerMilli;
    return { p50Millis: at(50), p99Millis: at(99), p999Millis: at(99.9) };
}

function summarize(label: string, counts: LabelCounts): LabelResult {
    const windows: LoadWindow[] = [...counts.windows]
        .sort(([left], [right]) => left - right)
        .map(([index, window]) => ({
            startMillis: index * windowLengthMillis,
            answered: window.answered,
            failed: window.failed,
            p99Millis: readPercentiles(window.latency).p99Millis
        }));
    return {
        label,
        sent: counts.sent,
        answered: counts.answered,
        failed: counts.failed,
        inDoubt: counts.inDoubt,
        latency: readPercentiles(counts.latency),
        wait: readPercentiles(counts.wait),
        refusal: readPercentiles(counts.refusal),
        firstRefusal: readPercentiles(counts.firstRefusal),
        refusalInside: readPercentiles(counts.refusalInside),
        windows,
        failedByKind: counts.failedByKind
    };
}

function makeCallersByRegion(plan: LoadPlan): ReadonlyMap<string, readonly Caller[]> {
    const regions = [...new Set(plan.streams.map(stream => stream.region))];
    return new Map(regions.map(region => {
        const routes = plan.routes[region] ?? {};
        const callers = range(plan.callersPerRegion).map(index =>
            makeCaller({
                entryAddresses: plan.entryAddresses[region] ?? [],
                localAddress: `${plan.networks[region]}.${index % 250}.${2 + Math.floor(index / 250)}`,
                resolveConnectAddress: address => routes[address] ?? address
            })
        );
        return [region, callers] as const;
    }));
}

/** Runs a load plan in this process as an open loop: arrivals do not wait for earlier answers. */
export async function runLoad(
    plan: LoadPlan,
    onProgress: (answered: number, failed: number) => void
): Promise<LoadResult> {
    const random = makeRandom(plan.seed);
    const callers = makeCallersByRegion(plan);
    const countsByLabel = new Map<string, LabelCounts>();
    const toldNotRun: string[] = [];
    const pendingRequests = new Set<Promise<void>>();
    const startedAtMillis = Date.now();
    const startMillis = performance.now();
    let wrongAnswers = 0;
    let operations = 0;
    let requestCount = 0;
    let answered = 0;
    let failed = 0;

    const countsForLabel = (label: string) => {
        const existing = countsByLabel.get(label) ?? makeLabelCounts();
        countsByLabel.set(label, existing);
        return existing;
    };

    const windowAt = (labelCounts: LabelCounts, nowMillis: number) => {
        const index = Math.floor((nowMillis - startMillis) / windowLengthMillis);
        const existing = labelCounts.windows.get(index) ?? { answered: 0, failed: 0, latency: makeHistogram() };
        labelCounts.windows.set(index, existing);
        return existing;
    };

    const recordAttemptsNotRun = (failure: CallerFailure, token: string) => {
        failed += 1;
        failure.attemptsNotRun.forEach(attempt => toldNotRun.push(`${token}#${attempt}`));
    };

    const recordFailure = (labelCounts: LabelCounts, failure: CallerFailure, tookMillis: number) => {
        labelCounts.failed += 1;
        windowAt(labelCounts, performance.now()).failed += 1;
        labelCounts.failedByKind[failure.kind] = (labelCounts.failedByKind[failure.kind] ?? 0) + 1;
        if (failure.ran !== "no") {
            labelCounts.inDoubt += 1;
        }
        else {
            recordMillis(labelCounts.refusal, tookMillis);
        }
    };

    const recordAnswer = (labelCounts: LabelCounts, sentMillis: number, nowMillis: number, waitedMillis: number) => {
        labelCounts.answered += 1;
        const window = windowAt(labelCounts, nowMillis);
        window.answered += 1;
        if (sentMillis - startMillis >= plan.warmUpSeconds * 1_000) {
            const tookMillis = nowMillis - sentMillis;
            recordMillis(labelCounts.latency, tookMillis);
            recordMillis(labelCounts.wait, waitedMillis);
            recordMillis(window.latency, tookMillis);
        }
    };

    const sendRequest = async (stream: LoadStream, caller: Caller): Promise<void> => {
        requestCount += 1;
        const token = `${stream.label}-${plan.seed}-${startedAtMillis}-${requestCount}`;
        const countsToUpdate = [countsForLabel(allStreamsLabel), countsForLabel(stream.label)];
        const separator = stream.path.includes("?") ? "&" : "?";
        const sentMillis = performance.now();
        countsToUpdate.forEach(labelCounts => labelCounts.sent += 1);
        operations += stream.idempotent ? 0 : 1;
        const result = await Effect.runPromise(Effect.result(caller.send({
            service: stream.service,
            method: stream.method,
            path: `${stream.path}${separator}bytes=${stream.answerBytes}`,
            headers: attempt => ({ [tokenHeader]: `${token}#${attempt}`, [callerRegionHeader]: stream.region }),
            body: stream.idempotent ? undefined : token,
            idempotent: stream.idempotent,
            onAttemptNotRun: (tookMillis, timeInsideMillis) =>
                countsToUpdate.forEach(labelCounts => {
                    recordMillis(labelCounts.firstRefusal, tookMillis);
                    recordMillis(labelCounts.refusalInside, timeInsideMillis);
                }),
            deadlineMillis: stream.deadlineMillis
        })));
        const nowMillis = performance.now();
        if (Result.isFailure(result)) {
            recordAttemptsNotRun(result.failure, token);
            countsToUpdate.forEach(labelCounts => recordFailure(labelCounts, result.failure, nowMillis - sentMillis));
            return;
        }
        const { answer, attempts } = result.success;
        const text = answer.body.toString();
        const expected = range(attempts).map(index => buildResponseBody(`${token}#${index + 1}`, stream.answerBytes));
        if (answer.status !== 200 || !expected.includes(text)) {
            wrongAnswers += 1;
        }
        answered += 1;
        const waitedMillis = Number(answer.headers[queueMillisHeader] ?? 0)
            + Number(answer.headers["endivebridge-wait-millis"] ?? 0);
        countsToUpdate.forEach(labelCounts => recordAnswer(labelCounts, sentMillis, nowMillis, waitedMillis));
    };

    const generateArrivals = async (stream: LoadStream): Promise<void> => {
        const regionCallers = callers.get(stream.region)!;
        const durationMillis = plan.seconds * 1_000;
        let atMillis = 0;
        for (;;) {
            const rampFactor = Math.min(1, 0.1 + (0.9 * atMillis) / Math.max(1, plan.rampSeconds * 1_000));
            const factor = rampFactor * (1 + (stream.endFactor - 1) * (atMillis / durationMillis));
            atMillis += (-Math.log(1 - random()) * 1_000) / (stream.requestsPerSecond * factor);
            if (atMillis >= durationMillis) {
                return;
            }
            const waitMillis = startMillis + atMillis - performance.now();
            if (waitMillis > 0) {
                await new Promise(resolve => setTimeout(resolve, waitMillis));
            }
            const caller = regionCallers[Math.floor(random() * regionCallers.length)]!;
            const sent = sendRequest(stream, caller);
            pendingRequests.add(sent);
            void sent.finally(() => pendingRequests.delete(sent));
        }
    };

    const progressTimer = setInterval(() => onProgress(answered, failed), 1_000);
    await Promise.all(plan.streams.filter(stream => stream.requestsPerSecond > 0).map(generateArrivals));
    await Promise.all(pendingRequests);
    clearInterval(progressTimer);
    callers.forEach(regionCallers => regionCallers.forEach(caller => caller.close()));
    return {
        labels: [...countsByLabel].map(([label, labelCounts]) => summarize(label, labelCounts)),
        wrongAnswers,
        toldNotRun,
        operations,
        startedAtMillis
    };
}

/** Runs each load plan that the parent process sends, and reports progress and the result to it. */
export function serveCallerProcess(): void {
    process.on("message", (message: CallerProcessRequest) => {
        const send = (reply: CallerProcessReply) => process.send?.(reply);
        runLoad(message.plan, (answered, failed) => send({ kind: "progress", answered, failed }))
            .then(result => send({ kind: "done", result }));
    });
    process.on("disconnect", () => process.exit(0));
}
