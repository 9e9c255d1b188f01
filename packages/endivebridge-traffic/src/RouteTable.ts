import type { Route } from "./Configuration";

/** Matches requests to routes by host and path prefix. */
export interface RouteTable {
    /** The host's route with the longest prefix that begins the path. */
    readonly match: (host: string, path: string) => Route | undefined;
}

/** Indexes routes by host, longest prefix first. */
export function makeRouteTable(routes: readonly Route[]): RouteTable {
    const byHost = new Map<string, Route[]>();
    for (const route of routes) {
        const list = byHost.get(route.host.toLowerCase()) ?? [];
        list.push(route);
        byHost.set(route.host.toLowerCase(), list);
    }
    for (const list of byHost.values()) {
        list.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    return {
        match: (host, path) => byHost.get(host.toLowerCase())?.find(route => path.startsWith(route.pathPrefix))
    };
}
