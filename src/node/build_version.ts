/**
 * Version of the build that this process runs.
 *
 * @module
 */

/** Defined by the build for deployment, `scripts/bundle.mjs`. */
declare const DEPLOYED_BUILD: string | undefined;

/**
 * Version and commit of the build, such as `0.1.0+8d796d4`; "development" if the
 * program was not built for deployment.
 */
export const BUILD_VERSION: string = typeof DEPLOYED_BUILD === "undefined"
  ? "development"
  : DEPLOYED_BUILD;
