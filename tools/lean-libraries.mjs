/**
 * Leaves out of bundles what the programs never use of their libraries, since a process that starts again pays for all
 * that it loads: the HTTP client but for its pools, messages of the checker in other languages, rare media types, the
 * container's search for modules in folders, the codec's native helper, which a bundle does not carry, and parts of the
 * runtime that these processes never speak: TLS, HTTP/2 and worker processes.
 */

const MEDIA_TYPES = {
  'application/json': { extensions: ['json'] },
  'text/html': { extensions: ['html'] },
  'text/plain': { extensions: ['txt'] },
  'application/octet-stream': { extensions: ['bin'] }
}

/** Built-in modules that libraries load and that nothing here calls, with what they read of them while they load. */
const UNUSED_BUILT_INS = {
  https: {},
  tls: {},
  http2: { constants: {} },
  cluster: {}
}

export const leanLibraries = {
  name: 'lean-libraries',
  setup (build) {
    build.onResolve({ filter: /^(node:)?(https|tls|http2|cluster)$/ }, ({ path }) => ({
      path: path.replace(/^node:/, ''), namespace: 'unused-built-in'
    }))
    build.onLoad({ filter: /.*/, namespace: 'unused-built-in' }, ({ path }) => ({
      contents: `module.exports = ${JSON.stringify(UNUSED_BUILT_INS[path])}`
    }))
    build.onLoad({ filter: /node_modules\/undici\/index\.js$/ }, () => ({
      contents: "module.exports = { Pool: require('./lib/dispatcher/pool'), buildConnector: require('./lib/core/connect') }"
    }))
    build.onLoad({ filter: /node_modules\/(fast-glob\/out|msgpackr-extract)\/index\.js$/ }, () => ({
      contents: 'module.exports = undefined'
    }))
    build.onLoad({ filter: /node_modules\/zod\/v4\/locales\/index\.js$/ }, () => ({
      contents: "export { default as en } from './en.js'"
    }))
    build.onLoad({ filter: /node_modules\/mime-db\/db\.json$/ }, () => ({
      contents: JSON.stringify(MEDIA_TYPES), loader: 'json'
    }))
  }
}
