import { Counter, Gauge, Histogram, Registry } from "prom-client";

/** Upper bounds of the latency buckets, chosen around the latency objectives of interactive requests. */
const latencyBucketsSeconds = [0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5];

/** Counters, gauges and histograms of one instance. */
export type GatewayMetrics = ReturnType<typeof makeGatewayMetrics>;

/** Creates the metrics of one instance in a registry of their own, all at zero. */
export function makeGatewayMetrics() {
    const registry = new Registry();
    const registers = [registry];
    return {
        registry,
        requests: new Counter({
            name: "endivebridge_requests_total",
            help: "Requests of callers by route and outcome",
            labelNames: ["route", "outcome"],
            registers
        }),
        unansweredRequests: new Counter({
            name: "endivebridge_unanswered_requests_total",
            help: "Requests in service whose connection closed before their answer was written, by what closed it",
            labelNames: ["closedBy"],
            registers
        }),
        latency: new Histogram({
            name: "endivebridge_request_seconds",
            help: "Time from a request's arrival to its final answer",
            labelNames: ["route"],
            buckets: latencyBucketsSeconds,
            registers
        }),
        queueWait: new Histogram({
            name: "endivebridge_queue_wait_seconds",
            help: "Time that requests waited for a slot",
            labelNames: ["service"],
            buckets: latencyBucketsSeconds,
            registers
        }),
        attempts: new Counter({
            name: "endivebridge_attempts_total",
            help: "Sends to backend servers by service and outcome",
            labelNames: ["service", "outcome"],
            registers
        }),
        forwardedSends: new Counter({
            name: "endivebridge_forwarded_sends_total",
            help: "Requests forwarded to another instance by service and outcome",
            labelNames: ["service", "outcome"],
            registers
        }),
        lostSends: new Counter({
            name: "endivebridge_lost_sends_total",
            help:
                "Sends whose connection was reset, by whether their server crashed and another request can have caused it",
            labelNames: ["crash"],
            registers
        }),
        limitedServerSends: new Counter({
            name: "endivebridge_limited_server_sends_total",
            help: "Sends to backend servers that report a rate limit, by kind of send",
            labelNames: ["kind"],
            registers
        }),
        serversAnnouncedLeaving: new Counter({
            name: "endivebridge_servers_announced_leaving_total",
            help: "Backend servers that announced in an answer to this instance that they are leaving",
            labelNames: ["service"],
            registers
        }),
        serverPauses: new Counter({
            name: "endivebridge_server_pauses_total",
            help: "Refusals of backend servers that ask for a pause, by whether its time is valid, bounded or invalid",
            labelNames: ["service", "kind"],
            registers
        }),
        unreadAnswersCut: new Counter({
            name: "endivebridge_unread_answers_cut_total",
            help: "Answers cut because answers that callers did not read exceeded the memory limit",
            registers
        }),
        limitedConnections: new Counter({
            name: "endivebridge_limited_connections_total",
            help: "Connections closed because callers or peers held more than a limit, by limit",
            labelNames: ["clients", "limit"],
            registers
        }),
        cutRequests: new Counter({
            name: "endivebridge_cut_requests_total",
            help: "Requests still open when the instance ended its shutdown, by stage",
            labelNames: ["stage"],
            registers
        }),
        storeCalls: new Counter({
            name: "endivebridge_store_calls_total",
            help: "Calls to the platform's store by call and outcome",
            labelNames: ["call", "outcome"],
            registers
        }),
        storePollsAborted: new Counter({
            name: "endivebridge_store_polls_aborted_total",
            help: "Long polls aborted by this instance, by whether their response had started to arrive",
            labelNames: ["response"],
            registers
        }),
        storeEra: new Gauge({
            name: "endivebridge_store_era",
            help: "Count of the store's returns from a copy, as its answers state it",
            registers
        }),
        configurationVersion: new Gauge({
            name: "endivebridge_configuration_version",
            help: "Version of the configuration in force",
            registers
        }),
        servers: new Gauge({ name: "endivebridge_servers", help: "Backend servers known", registers }),
        members: new Gauge({ name: "endivebridge_members_live", help: "Other instances heard lately", registers })
    };
}
