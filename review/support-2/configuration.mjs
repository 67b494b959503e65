/** A configuration of the operator like that of the small deployment `saltline`, with a model of few layers. */
import { layers } from "./servers.mjs";

export const callerHost = "ficu95.example";
export const key = "n2ctnfzs989anu6wsjnb";
export const paths = { stream: "/lohu930/2f", book: "/puxa403/2f", look: "/cufi504/2f" };

const route = { host: callerHost, public: false };

export function configuration(version, changes = {}) {
    return {
        version,
        routes: [
            {
                ...route,
                name: "route-brief",
                path_prefix: "/lohu930/",
                kind: "streaming",
                timeout_ms: 20_000,
                target_latency_ms: 500,
                priority: 1,
                service: "pool",
                max_attempts: 2,
                session_affinity: true,
                stream_resume: true,
                gap_aim_ms: 200,
            },
            {
                ...route,
                name: "truck-book",
                path_prefix: "/puxa403/",
                kind: "non_idempotent",
                timeout_ms: 800,
                target_latency_ms: 300,
                priority: 2,
                service: "app",
                max_attempts: 1,
            },
            {
                ...route,
                name: "stock-look",
                path_prefix: "/cufi504/",
                kind: "idempotent",
                timeout_ms: 800,
                target_latency_ms: 300,
                priority: 2,
                service: "app",
                max_attempts: 2,
            },
        ],
        services: [
            { name: "pool", health_path: "/health", max_connections: 1_924, protocol: "h1", tls: false, engine },
            { name: "app", health_path: "/health", max_connections: 105, protocol: "h1", tls: false },
        ],
        limits: {
            max_header_bytes: 16_384,
            max_body_bytes: 4_194_304,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        },
        tenants: [{ name: "hule930", api_keys: [key], priority: 1 }],
        ...changes,
    };
}

const engine = {
    slots: 134,
    kv_capacity_tokens: 69_791,
    kv_token_bytes: 845_373,
    link_mbps: 480_000,
    stride: 2,
    models: [{ name: "m", pace: 1, load_s: 14, warm_s: 1 }],
    step_ms: 0.85,
    per_seq_ms: 0.0055,
    context_per_k: 0.0073,
    read_per_s: 196_000,
    pairs_per_m: 0.166,
    chunk: 512,
    report_lag_ms: 200,
    loads_per_s: 0,
    loads_at_once: 6,
    delays: [],
    usual: { prompt: 772, answer: 167 },
    layers,
    layer_mb: 1_750,
    act_bytes: 42_268,
    pipe_mbps: 13_000,
    kinds: [{ name: "l4", mb: 21_600, pace: 16, read_x: 8.2 }],
};
