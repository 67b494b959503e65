/** Configurations like those of the small sites, with fewer layers and shorter loads. */

/** As many layers as fit into an engine's memory. */
export const layersThatFit = 13;
export const layerCount = 20;
export const loadSeconds = 3;

const engine = {
    slots: 134,
    kv_capacity_tokens: 69_791,
    kv_token_bytes: 845_373,
    link_mbps: 480_000,
    stride: 2,
    models: [{ name: "m", pace: 1, load_s: loadSeconds, warm_s: 1 }],
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
    usual: { prompt: 772, answer: 24 },
    layers: layerCount,
    layer_mb: 1_750,
    act_bytes: 42_268,
    pipe_mbps: 13_000,
    kinds: [{ name: "l4", mb: 24_000, pace: 16, read_x: 8.2 }],
};

const route = { host: "yard.example", priority: 1, public: false };

export function configuration(version) {
    return {
        version,
        routes: [
            {
                ...route,
                name: "report",
                path_prefix: "/report/",
                kind: "streaming",
                timeout_ms: 20_000,
                target_latency_ms: 500,
                gap_aim_ms: 200,
                max_attempts: 2,
                stream_resume: true,
                session_affinity: true,
                service: "pool",
            },
            {
                ...route,
                name: "book",
                path_prefix: "/book/",
                kind: "non_idempotent",
                timeout_ms: 800,
                target_latency_ms: 300,
                max_attempts: 1,
                service: "app",
            },
            {
                ...route,
                name: "look",
                path_prefix: "/look/",
                kind: "idempotent",
                timeout_ms: 800,
                target_latency_ms: 300,
                max_attempts: 2,
                service: "app",
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
        tenants: [{ name: "haddow", api_keys: ["key-1"], priority: 1 }],
    };
}
