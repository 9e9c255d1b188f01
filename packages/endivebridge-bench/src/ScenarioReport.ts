/** One claim: a measured value against the bound that its issue states. */
export interface Claim {
    readonly name: string;
    readonly value: number;
    readonly bound: string;
    readonly holds: boolean;
}

/** Figures of one policy in one scenario. */
export type PolicyResult = { readonly policy: string; } & Readonly<Record<string, unknown>>;

/** What a scenario prints as its last line. */
export interface ScenarioReport {
    readonly scenario: string;
    readonly seed: number;
    readonly seconds: number;
    readonly results: readonly PolicyResult[];
    readonly claims: readonly Claim[];
}

/** Options that every scenario takes. */
export interface ScenarioOptions {
    readonly seed: number;
    readonly seconds: number;
}

/** A scenario: its load, faults and claims in one function. */
export type Scenario = (options: ScenarioOptions) => Promise<Pick<ScenarioReport, "results" | "claims">>;

/** Claims that a value is at most the bound. */
export function atMost(name: string, value: number, bound: number): Claim {
    return { name, value: roundToFourDecimals(value), bound: `<= ${bound}`, holds: value <= bound };
}

/** Claims that a value is at least the bound. */
export function atLeast(name: string, value: number, bound: number): Claim {
    return { name, value: roundToFourDecimals(value), bound: `>= ${bound}`, holds: value >= bound };
}

function roundToFourDecimals(value: number): number {
    return Math.round(value * 10_000) / 10_000;
}

/** Runs a scenario and prints its report; gives the exit code: 0 when every claim holds. */
export async function runScenario(name: string, scenario: Scenario, options: ScenarioOptions): Promise<number> {
    const { results, claims } = await scenario(options);
    for (const claim of claims) {
        console.log(`${claim.holds ? "holds " : "FAILS "} ${claim.name}: ${claim.value} (${claim.bound})`);
    }
    const report: ScenarioReport = { scenario: name, seed: options.seed, seconds: options.seconds, results, claims };
    console.log(JSON.stringify(report));
    return claims.every(claim => claim.holds) ? 0 : 1;
}
