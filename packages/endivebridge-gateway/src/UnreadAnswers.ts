import type { ServerResponse } from "node:http";
import type { EventLog } from "./EventLog";
import type { GatewayMetrics } from "./GatewayMetrics";

/** Bounds the memory that answers take until their callers have read them. */
export interface UnreadAnswers {
    /**
     * Counts an answer of the given size until it is written or its connection closes. While all of them exceed the limit,
     * those whose callers have read nothing for the longest time are cut.
     */
    readonly add: (response: ServerResponse, bytes: number, cut: () => void) => void;
}

/** Share of the process's memory for answers that callers have not read; garbage takes about as much again. */
const memoryShare = 0.25;
/** Smaller answers fit into the buffers of the connection. */
const minCountedBytes = 16_384;

interface UnreadAnswer {
    readonly bytes: number;
    readonly cut: () => void;
}

/** Creates the bound for a process that may use the given memory. */
export function makeUnreadAnswers(memoryBytes: number, log: EventLog, metrics: GatewayMetrics): UnreadAnswers {
    const limitBytes = memoryBytes * memoryShare;
    /** Ordered by when their callers last read from them. */
    const answers = new Set<UnreadAnswer>();
    let totalBytes = 0;

    const remove = (answer: UnreadAnswer) => {
        if (answers.delete(answer)) {
            totalBytes -= answer.bytes;
        }
    };
    return {
        add: (response, bytes, cut) => {
            if (bytes < minCountedBytes) {
                return;
            }
            const answer: UnreadAnswer = { bytes, cut };
            answers.add(answer);
            totalBytes += bytes;
            response.on("drain", () => {
                if (answers.delete(answer)) {
                    answers.add(answer);
                }
            });
            response.once("finish", () => remove(answer));
            response.once("close", () => remove(answer));
            while (totalBytes > limitBytes) {
                const [longestUnread] = answers;
                if (longestUnread === undefined || longestUnread === answer) {
                    return;
                }
                remove(longestUnread);
                metrics.unreadAnswersCut.inc();
                log.warn(
                    "unread answer",
                    { totalBytes, limitBytes, answers: answers.size },
                    "answers that callers do not read exceed the memory limit; cutting the one unread for longest"
                );
                longestUnread.cut();
            }
        }
    };
}
