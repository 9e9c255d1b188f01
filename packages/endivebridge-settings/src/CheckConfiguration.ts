import type { ConfigurationDocument } from "./Configuration";

/** A part of a configuration that is well formed but does not fit the rest. */
export interface Misfit {
    readonly path: readonly (string | number)[];
    readonly expected: string;
}

const longestPrefix = 32;
const highestOctet = 255;

function isBlock(block: string): boolean {
    const [address = "", length = ""] = block.split("/");
    return Number(length) <= longestPrefix && address.split(".").every(octet => Number(octet) <= highestOctet);
}

function regionMisfit(
    known: ReadonlySet<string>,
    region: string,
    path: readonly (string | number)[]
): readonly Misfit[] {
    return known.has(region) ? [] : [{ path, expected: "a declared region" }];
}

function duplicateDomains(document: ConfigurationDocument): readonly Misfit[] {
    const seen = new Set<string>();
    return Object.entries(document.regions).flatMap(([region, { failureDomains }]) =>
        failureDomains.flatMap((domain, index) => {
            const isNew = !seen.has(domain);
            seen.add(domain);
            const path = ["regions", region, "failureDomains", index];
            return isNew ? [] : [{ path, expected: "a failure domain that no other entry names" }];
        })
    );
}

function cappedServices(document: ConfigurationDocument): readonly Misfit[] {
    return Object.entries(document.regions).flatMap(([region, { inflowCapRequestsPerSecond }]) =>
        Object.keys(inflowCapRequestsPerSecond)
            .filter(service => !Object.hasOwn(document.services, service))
            .map(service => ({
                path: ["regions", region, "inflowCapRequestsPerSecond", service],
                expected: "a declared service"
            }))
    );
}

/** Finds what does not fit: names that nothing declares, blocks that are none, doubled failure domains. */
export function checkConfiguration(document: ConfigurationDocument): readonly Misfit[] {
    const regions = new Set(Object.keys(document.regions));
    return [
        ...duplicateDomains(document),
        ...cappedServices(document),
        ...document.clientBlocks.flatMap(({ block, region }, index) => [
            ...isBlock(block) ? [] : [{ path: ["clientBlocks", index, "block"], expected: "an IPv4 block" }],
            ...regionMisfit(regions, region, ["clientBlocks", index, "region"])
        ]),
        ...document.drains.flatMap(({ region }, index) => regionMisfit(regions, region, ["drains", index, "region"])),
        ...document.links.flatMap(({ from, to }, index) => [
            ...regionMisfit(regions, from, ["links", index, "from"]),
            ...regionMisfit(regions, to, ["links", index, "to"])
        ])
    ];
}
